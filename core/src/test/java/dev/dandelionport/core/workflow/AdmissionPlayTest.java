package dev.dandelionport.core.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.admission.Refusal;
import dev.dandelionport.core.admission.RefusalReason;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Tests what callers get while one account sends several times its share. */
class AdmissionPlayTest {

  private static OverloadPlay play(boolean admissionControl) {
    OverloadPlay p = new OverloadPlay(admissionControl);
    p.arrivals("other", 9, 2_000, 40_000);
    p.arrivals("hot", 6, 2_000, 8_000);
    p.arrivals("hot", 45, 8_000, 20_000);
    p.arrivals("hot", 4, 20_000, 40_000);
    p.run(90_000);
    return p;
  }

  @Test
  void acceptedWorkflowIsNeverRefusedLater() {
    // Guards against a forecast that is made before the id is looked up.
    OverloadPlay p = play(true);
    assertThat(p.refusals).hasSizeGreaterThan(50);
    assertThat(p.refusedAfterAcceptance).isEmpty();
    assertThat(p.completedMillis.keySet()).containsAll(p.acceptedMillis.keySet());
  }

  @Test
  void refusedWorkflowNeverRunsUnlessItReturnsAndIsAccepted() {
    // Guards against a refusal that leaves something of the workflow behind.
    OverloadPlay p = play(true);
    assertThat(p.acceptedMillis.keySet()).containsAll(p.startedIds);
  }

  @Test
  void callerIsNotAcceptedBeforeItsTime() {
    // Guards against rewarding callers that return early, and against times that change.
    OverloadPlay p = play(true);
    int early = 0;
    for (Map.Entry<String, List<Refusal>> e : p.refusals.entrySet()) {
      long last = 0;
      for (Refusal r : e.getValue()) {
        assertThat(r.returnMillis()).isGreaterThanOrEqualTo(last);
        assertThat(r.early()).isEqualTo(r.returnMillis() == last);
        last = r.returnMillis();
        early += r.early() ? 1 : 0;
      }
      assertThat(p.acceptedMillis.getOrDefault(e.getKey(), Long.MAX_VALUE))
          .isGreaterThanOrEqualTo(last);
    }
    assertThat(early).isPositive();
  }

  @Test
  void callersThatReturnInTimeAreAccepted() {
    // Guards against times at which there is no capacity.
    OverloadPlay p = play(true);
    long inTime =
        p.refusals.values().stream().flatMap(List::stream).filter(r -> !r.early()).count();
    assertThat(inTime).isLessThan(p.refusals.size() * 5L / 4);
    assertThat(p.acceptedMillis.keySet()).containsAll(p.refusals.keySet());
  }

  @Test
  void onlyTheAccountOverItsShareIsRefused() {
    // Guards against refusing accounts for the load of another one.
    OverloadPlay p = play(true);
    assertThat(p.refusals.keySet()).allMatch(id -> id.startsWith("hot"));
    assertThat(
            p.refusals.values().stream()
                .flatMap(List::stream)
                .map(Refusal::reason)
                .collect(Collectors.toSet()))
        .containsExactly(RefusalReason.OVER_SHARE);
  }

  @Test
  void refusingServesMoreThanAcceptingEverything() {
    // Guards against refusals that help no caller.
    OverloadPlay with = play(true);
    OverloadPlay without = play(false);
    assertThat(without.refusals).isEmpty();
    assertThat(with.servedInTime("hot")).isGreaterThan(without.servedInTime("hot") + 0.1);
    assertThat(with.servedInTime("other")).isGreaterThan(without.servedInTime("other") - 0.01);
    assertThat(with.acceptedInVain()).isLessThan(without.acceptedInVain());
  }

  @Test
  void cellWithEnoughCapacityBehavesAsWithoutAdmissionControl() {
    // Guards against any effect of admission control on a cell that is not overloaded.
    OverloadPlay with = new OverloadPlay(true);
    OverloadPlay without = new OverloadPlay(false);
    for (OverloadPlay p : List.of(with, without)) {
      p.arrivals("other", 9, 2_000, 30_000);
      p.arrivals("hot", 4, 2_000, 30_000);
      p.arrivals("hot", 15, 12_000, 14_000);
      p.run(60_000);
    }
    assertThat(with.refusals).isEmpty();
    assertThat(with.completedMillis).isEqualTo(without.completedMillis);
  }

  @Test
  void newOwnerRefusesNothingForLackOfCapacity() {
    // Guards against a forecast without measured run times, such as after a restart.
    OverloadPlay p = new OverloadPlay(true);
    p.arrivals("hot", 1_000, 1_000, 1_900);
    p.run(1_900);
    assertThat(p.refusals).isEmpty();
  }
}
