package dev.dandelionport.core.share;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.ResourceVector;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FairSharesTest {

  private static final ResourceVector CAPACITY = cores(100);

  private final ShareLedger<String> ledger = new ShareLedger<>();
  private final FairShares<String> shares = new FairShares<>();
  private long now;

  @BeforeEach
  void setUp() {
    ledger.setCapacity(CAPACITY);
    ledger.setWeights(Map.of("a", 1.0, "b", 1.0, "c", 1.0, "d", 1.0));
  }

  private static ResourceVector cores(int n) {
    return new ResourceVector(0, 0, 1_000L * n, n, 0);
  }

  /** Sets what an account uses, for so long that its recent use is the same. */
  private void use(String account, int cores) {
    ledger.remove(account, ledger.used(account));
    ledger.add(account, cores(cores));
    pass(60_000);
  }

  private void pass(long millis) {
    for (long until = now + millis; now < until; ) {
      now += 50;
      ledger.advance(now);
    }
  }

  /** Decides while the given accounts wait. */
  private void update(String... waiting) {
    shares.update(ledger, Set.of(waiting));
  }

  // Guards against the decision that lets one account take the cell from others that wait.
  @Test
  void accountWithMostOfCellIsOverWhileOthersWait() {
    use("a", 70);
    use("b", 20);
    update("a", "b", "c");
    assertThat(shares.isOver("a")).isTrue();
    assertThat(shares.isOver("b")).isFalse();
    assertThat(shares.isOver("c")).isFalse();
  }

  // Guards against capacity that others leave unused and that is counted against its user.
  @Test
  void accountsThatDoNotWaitGetNoPart() {
    use("a", 30);
    use("b", 28);
    use("c", 2);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
    update("a", "b", "c", "d");
    assertThat(shares.isOver("a")).isTrue();
  }

  // Guards against an order that changes at every pass for an account near its fair share.
  @Test
  void accountNearItsFairShareKeepsItsState() {
    use("a", 48);
    use("b", 40);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
    use("a", 90);
    use("b", 10);
    update("a", "b");
    assertThat(shares.isOver("a")).isTrue();
    use("a", 48);
    use("b", 40);
    update("a", "b");
    assertThat(shares.isOver("a")).isTrue();
    use("a", 39);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
  }

  // Guards against a small account that is held back in a cell with capacity to spare.
  @Test
  void accountWithinItsPartOfCapacityIsNeverOver() {
    use("a", 24);
    use("b", 2);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
  }

  // Guards against a change of the order where there is nobody to be fair to.
  @Test
  void nobodyIsOverWhereOneAccountWaits() {
    use("a", 70);
    use("b", 20);
    update("a", "b");
    assertThat(shares.isOver("a")).isTrue();
    update("a");
    assertThat(shares.isOver("a")).isFalse();
    assertThat(shares.isComparing()).isFalse();
  }

  // Guards against a change of the order in cells that give no weights.
  @Test
  void nobodyIsOverWhereNoAccountHasWeight() {
    ledger.setWeights(Map.of("a", 0.0, "b", 0.0));
    use("a", 70);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
    assertThat(shares.isComparing()).isFalse();
  }

  // Guards against weights that are compared with use as if they were equal.
  @Test
  void accountWithThreeTimesTheWeightMayUseThreeTimesAsMuch() {
    ledger.setWeights(Map.of("a", 3.0, "b", 1.0));
    use("a", 66);
    use("b", 22);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
    use("a", 44);
    use("b", 44);
    update("a", "b");
    assertThat(shares.isOver("b")).isTrue();
  }

  // Guards against an account that gets capacity back late because of what others used long ago,
  // and against one that takes the cell again as soon as its last run has ended.
  @Test
  void recentUseCountsForSomeSeconds() {
    use("a", 70);
    use("b", 20);
    update("a", "b");
    ledger.remove("a", cores(70));
    pass(1_000);
    assertThat(ledger.smoothedShare("a")).isBetween(0.29, 0.31);
    update("a", "b");
    assertThat(shares.isOver("a")).isTrue();
    pass(10_000);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
  }

  // Guards against an account that is over its share, has everything started for a moment and
  // ranks with the others again at its next task.
  @Test
  void accountStaysOverWhileItHasNothingWaiting() {
    use("a", 70);
    use("b", 15);
    use("c", 15);
    update("a", "b", "c");
    update("b", "c");
    assertThat(shares.isOver("a")).isTrue();
  }

  // Guards against a new owner that has not listed its runners and takes every use for infinite.
  @Test
  void unknownCapacityLeavesNobodyOver() {
    ledger.setCapacity(ResourceVector.ZERO);
    use("a", 70);
    use("b", 20);
    update("a", "b");
    assertThat(shares.isOver("a")).isFalse();
    ledger.setCapacity(CAPACITY);
    pass(60_000);
    update("a", "b");
    assertThat(shares.isOver("a")).isTrue();
  }

  // Guards against holders of the product's cell and accounts that are divided by another rule than
  // equal shares of what remains.
  @Test
  void deviationsDivideWhatSmallDemandsLeaveByWeight() {
    ledger.add("a", cores(50));
    ledger.add("b", cores(25));
    ledger.add("c", cores(5));
    Map<String, Double> deviations =
        ledger.deviations(Map.of("a", CAPACITY, "b", CAPACITY, "c", ResourceVector.ZERO));
    assertThat(deviations.get("a")).isCloseTo((50 - 37.5) / 80, within());
    assertThat(deviations.get("b")).isCloseTo((25 - 37.5) / 80, within());
    assertThat(deviations.get("c")).isCloseTo(0.0, within());
  }

  private static org.assertj.core.data.Offset<Double> within() {
    return org.assertj.core.data.Offset.offset(1e-9);
  }
}
