package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.AlertCode;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.message.JobReply.Outcome;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import dev.dandelionport.core.testing.Cell.Request;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ControlFailureTest {

  private static Manifest drained(Manifest m, String domain) {
    List<FailureDomain> domains =
        m.failureDomains().stream()
            .map(d -> new FailureDomain(d.id(), d.region(), !d.id().equals(domain)))
            .toList();
    return new Manifest(m.version() + 1, m.cell(), m.regions(), domains, m.teams(), m.queues());
  }

  private static Manifest limited(Manifest m, int limit) {
    List<Team> teams =
        m.teams().stream()
            .map(t -> new Team(t.id(), "account", t.homeRegion(), 1, limit, 1_000, List.of()))
            .toList();
    return new Manifest(
        m.version() + 1, m.cell(), m.regions(), m.failureDomains(), teams, m.queues());
  }

  private static boolean allKnow(Cell cell, long version) {
    return cell.instances.values().stream()
        .allMatch(i -> i.engine.state().manifest().map(Manifest::version).orElse(0L) >= version);
  }

  /** Guards against starts in a drained domain by an owner that is cut off from everyone. */
  @Test
  void ownerThatIsCutOffStartsNothingInDrainedDomain() {
    for (int seed = 1; seed <= 10; seed++) {
      Cell cell = new Cell(seed, 3, 1, 4).start();
      cell.time.runFor(cell.time.random().nextInt(2_000));
      Instance owner = cell.owner("x");
      cell.store.setDisconnected(owner.process, true);
      for (Instance i : cell.instances.values()) {
        cell.peers.setCut(owner.info.id(), i.info.id(), true);
      }
      cell.commit(drained(cell.manifest(), "tallinn-a"));
      for (int i = 0; i < 30; i++) {
        cell.submitUrgent(owner, "u" + i, "run=10");
        cell.submitUrgent(cell.anyOtherThan(owner), "v" + i, "run=10");
        cell.time.runFor(200);
      }
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
      assertThat(cell.workers.runsOf("v29")).isNotEmpty();
    }
  }

  /**
   * Guards against a start that arrives late in a domain drained meanwhile, from an owner whose
   * authority its own region extends while nobody confirms its manifest.
   */
  @Test
  void startThatArrivesLateEndsWithTheConfirmationOfTheManifest() {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, Map.of("tallinn", 3, "narva", 3), 1, 4).start();
      cell.time.runFor(2_000 + cell.time.random().nextInt(2_000));
      List<Instance> cut =
          cell.instances.values().stream().filter(i -> i.info.region().equals("narva")).toList();
      setCut(cell, cut, true);
      cell.commit(drained(cell.manifest(), "narva-a"));
      cell.workers.delayStarts(c -> true, 900);
      for (int i = 0; i < 30; i++) {
        cell.submitUrgent(cut.get(0), "u" + i, "run=10");
        cell.time.runFor(100);
      }
      assertThat(cut).anyMatch(i -> i.engine.hasAuthority());
      cell.time.runFor(4_000);
      assertThat(cell.workers.runs()).as("seed %d", seed).isNotEmpty();
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
    }
  }

  /** Guards against a manifest that goes back, or is not written back, after a store restore. */
  @Test
  void newestManifestSurvivesRestoreOfTheStore() {
    Cell cell = new Cell(2, 3, 2, 4).start();
    byte[] old = cell.store.read(ControlKeys.MANIFEST).orElseThrow();
    Manifest newest = limited(cell.manifest(), 50);
    cell.commit(newest);
    assertThat(cell.time.runUntil(() -> allKnow(cell, 2), 100)).isTrue();
    cell.store.putUnconditionally(ControlKeys.MANIFEST, old);
    cell.time.runFor(1_000);
    byte[] now = cell.store.read(ControlKeys.MANIFEST).orElseThrow();
    assertThat(JsonCodec.decode(now, Manifest.class)).isEqualTo(newest);
    assertThat(allKnow(cell, 2)).isTrue();
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against an instance that misses a manifest because its watch or store is gone. */
  @Test
  void peersHandNewManifestToInstanceWithoutStore() {
    Cell cell = new Cell(3, 3, 1, 4).start();
    cell.time.runFor(1_000);
    cell.store.setDisconnected(cell.instances.get("tallinn-3").process, true);
    cell.commit(limited(cell.manifest(), 50));
    assertThat(cell.time.runUntil(() -> allKnow(cell, 2), 100)).isTrue();
  }

  /** Guards against a value that stops an instance without any report. */
  @ParameterizedTest
  @ValueSource(strings = {ControlKeys.MANIFEST, ControlKeys.ASSIGNMENT})
  void unreadableControlValueIsReportedAndSurvived(String key) {
    Cell cell = new Cell(4, 3, 1, 4).start();
    final byte[] good = cell.store.read(key).orElseThrow();
    cell.store.putUnconditionally(key, "{\"version\":".getBytes(StandardCharsets.UTF_8));
    cell.time.runFor(4_000);
    for (Instance i : cell.instances.values()) {
      assertThat(i.events(EngineEvent.AlertRaised.class))
          .filteredOn(a -> a.code() == AlertCode.CONTROL_VALUE_UNREADABLE)
          .hasSize(1);
    }
    cell.store.putUnconditionally(key, good);
    cell.time.runFor(1_000);
    cell.submitUrgent(cell.instances.get("tallinn-1"), "u", "run=10");
    cell.awaitAnswers(5_000);
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against a region that acts on old rules, or kills its work, while it is cut off. */
  @Test
  void regionThatIsCutOffKeepsItsWorkAndStartsNothing() {
    Cell cell = new Cell(5, Map.of("tallinn", 3, "narva", 2), 1, 4).start();
    cell.time.runFor(2_000);
    Instance near = cell.instances.get("narva-1");
    // The first region by name is the home of the team.
    final Request running = cell.submitUrgent(near, "long", "run=200000");
    cell.time.runFor(1_000);
    List<Instance> cut =
        cell.instances.values().stream().filter(i -> i.info.region().equals("narva")).toList();
    setCut(cell, cut, true);
    cell.time.runFor(4_000);
    for (int i = 0; i < 20; i++) {
      Request r = cell.submitUrgent(near, "u" + i, "run=10");
      cell.time.runFor(6_500);
      // The entry instance cannot exclude that an earlier copy ran, so it does not say not_run.
      assertThat(r.lastAnswer.outcome()).isEqualTo(Outcome.UNKNOWN);
      assertThat(cell.workers.runsOf("u" + i)).isEmpty();
    }
    setCut(cell, cut, false);
    cell.awaitServed(10_000);
    cell.awaitAnswers(200_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.workers.runsOf("long")).hasSize(1);
    assertThat(running.isFinal()).isTrue();
  }

  private static void setCut(Cell cell, List<Instance> cut, boolean isCut) {
    for (Instance a : cut) {
      cell.store.setDisconnected(a.process, isCut);
      cell.instances.values().stream()
          .filter(b -> !cut.contains(b))
          .forEach(b -> cell.peers.setCut(a.info.id(), b.info.id(), isCut));
    }
  }

  /** Guards against permits that lie idle in one partition while another one needs them. */
  @Test
  void permitsMoveToThePartitionThatNeedsThemWithinTheLimit() {
    Cell cell = new Cell(6, 3, 2, 16);
    cell.commit(limited(cell.manifest(), 10));
    cell.start();
    Instance entry = cell.instances.get("tallinn-1");
    Optional<PartitionId> home = entry.engine.homePartition(cell.spec("k0", null, true, "").key());
    int sent = 0;
    for (int i = 0; sent < 30; i++) {
      JobSpec spec = cell.spec("k" + i, WorkloadClass.DEFERRABLE, true, "run=4000");
      if (entry.engine.homePartition(spec.key()).equals(home)) {
        cell.submit(entry, spec);
        sent++;
      }
    }
    cell.time.runFor(6_000);
    assertThat(cell.workers.running(cell.requests.get("k0").spec.key().team()))
        .isGreaterThanOrEqualTo(9);
    cell.awaitAnswers(60_000);
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against store calls that grow with the cell, and against confirmations that lapse. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 9})
  void idleInstancesShareTheReadsOfTheControlState(int instances) {
    Cell cell = new Cell(6, instances, 1, 4).start();
    cell.time.runFor(10_000);
    final int before = cell.store.calls("list");
    for (int i = 0; i < 1_200; i++) {
      cell.time.runFor(50);
      assertThat(cell.instances.values()).allMatch(x -> x.engine.isManifestConfirmed());
    }
    // The rest of the 2 calls a second are 1.5 lease renewals.
    double perSecond = (cell.store.calls("list") - before) / 60.0 / instances;
    assertThat(perSecond).isLessThan(instances == 1 ? 0.5 : 0.35);
    assertThat(perSecond).isGreaterThan(0.16);
  }
}
