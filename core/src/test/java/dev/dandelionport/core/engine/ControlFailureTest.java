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

  private static Manifest withDrainedDomain(Manifest m, String domain) {
    List<FailureDomain> domains =
        m.failureDomains().stream()
            .map(d -> new FailureDomain(d.id(), d.region(), !d.id().equals(domain)))
            .toList();
    return new Manifest(m.version() + 1, m.cell(), m.regions(), domains, m.teams(), m.queues());
  }

  private static Manifest withTeamLimit(Manifest m, int limit) {
    List<Team> teams =
        m.teams().stream()
            .map(t -> new Team(t.id(), "account", t.homeRegion(), 1, limit, 1_000, List.of()))
            .toList();
    return new Manifest(
        m.version() + 1, m.cell(), m.regions(), m.failureDomains(), teams, m.queues());
  }

  private static boolean allHaveManifest(Cell cell, long version) {
    return cell.instances.values().stream()
        .allMatch(i -> i.engine.state().manifest().map(Manifest::version).orElse(0L) >= version);
  }

  /**
   * Guards against starts in a drained domain by an owner that is partitioned from the store and
   * all peers and therefore has an old manifest.
   */
  @Test
  void isolatedOwnerStartsNothingInDrainedDomain() {
    for (int seed = 1; seed <= 10; seed++) {
      Cell cell = new Cell(seed, 3, 1, 4).start();
      cell.time.runFor(cell.time.random().nextInt(2_000));
      Instance owner = cell.owner("x");
      cell.store.setDisconnected(owner.process, true);
      for (Instance i : cell.instances.values()) {
        cell.peers.setCut(owner.info.id(), i.info.id(), true);
      }
      cell.commit(withDrainedDomain(cell.manifest(), "tallinn-a"));
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
   * Guards against a delayed start in a domain that has been drained in the meantime. The owner's
   * region is partitioned from the rest of the cell: members of the region still extend the owner's
   * authority, but its manifest is no longer confirmed.
   */
  @Test
  void lateStartIsRefusedAfterManifestConfirmationExpires() {
    for (int seed = 1; seed <= 5; seed++) {
      Cell cell = new Cell(seed, Map.of("tallinn", 3, "narva", 3), 1, 4).start();
      cell.time.runFor(2_000 + cell.time.random().nextInt(2_000));
      List<Instance> isolated =
          cell.instances.values().stream().filter(i -> i.info.region().equals("narva")).toList();
      setIsolated(cell, isolated, true);
      cell.commit(withDrainedDomain(cell.manifest(), "narva-a"));
      cell.workers.delayStarts(c -> true, 900);
      for (int i = 0; i < 30; i++) {
        cell.submitUrgent(isolated.get(0), "u" + i, "run=10");
        cell.time.runFor(100);
      }
      assertThat(isolated).anyMatch(i -> i.engine.hasAuthority());
      cell.time.runFor(4_000);
      assertThat(cell.workers.runs()).as("seed %d", seed).isNotEmpty();
      assertThat(cell.violations()).as("seed %d", seed).isEmpty();
    }
  }

  /**
   * Guards against instances that adopt an older manifest, or do not write the newest one back,
   * after the store was restored from a backup.
   */
  @Test
  void newestManifestIsWrittenBackAfterStoreRestore() {
    Cell cell = new Cell(2, 3, 2, 4).start();
    byte[] old = cell.store.read(ControlKeys.MANIFEST).orElseThrow();
    Manifest newest = withTeamLimit(cell.manifest(), 50);
    cell.commit(newest);
    assertThat(cell.time.runUntil(() -> allHaveManifest(cell, 2), 100)).isTrue();
    cell.store.putUnconditionally(ControlKeys.MANIFEST, old);
    cell.time.runFor(1_000);
    byte[] now = cell.store.read(ControlKeys.MANIFEST).orElseThrow();
    assertThat(JsonCodec.decode(now, Manifest.class)).isEqualTo(newest);
    assertThat(allHaveManifest(cell, 2)).isTrue();
    assertThat(cell.violations()).isEmpty();
  }

  /** Guards against an instance that misses a manifest because it cannot reach the store. */
  @Test
  void peersSendNewManifestToInstanceWithoutStore() {
    Cell cell = new Cell(3, 3, 1, 4).start();
    cell.time.runFor(1_000);
    cell.store.setDisconnected(cell.instances.get("tallinn-3").process, true);
    cell.commit(withTeamLimit(cell.manifest(), 50));
    assertThat(cell.time.runUntil(() -> allHaveManifest(cell, 2), 100)).isTrue();
  }

  /**
   * Guards against a control value that cannot be decoded and stops an instance, or is ignored
   * without an alert.
   */
  @ParameterizedTest
  @ValueSource(strings = {ControlKeys.MANIFEST, ControlKeys.ASSIGNMENT})
  void unreadableControlValueIsReportedAndDoesNotStopInstances(String key) {
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

  /**
   * Guards against a partitioned region that starts tasks under an old manifest or stops its
   * running tasks.
   */
  @Test
  void isolatedRegionKeepsRunningTasksAndStartsNothing() {
    Cell cell = new Cell(5, Map.of("tallinn", 3, "narva", 2), 1, 4).start();
    cell.time.runFor(2_000);
    Instance entry = cell.instances.get("narva-1");
    // The team's home region is the first one by name.
    final Request running = cell.submitUrgent(entry, "long", "run=200000");
    cell.time.runFor(1_000);
    List<Instance> isolated =
        cell.instances.values().stream().filter(i -> i.info.region().equals("narva")).toList();
    setIsolated(cell, isolated, true);
    cell.time.runFor(4_000);
    for (int i = 0; i < 20; i++) {
      Request r = cell.submitUrgent(entry, "u" + i, "run=10");
      cell.time.runFor(6_500);
      // The entry instance cannot rule out that an earlier copy ran, so it must not answer NOT_RUN.
      assertThat(r.lastAnswer.outcome()).isEqualTo(Outcome.UNKNOWN);
      assertThat(cell.workers.runsOf("u" + i)).isEmpty();
    }
    setIsolated(cell, isolated, false);
    cell.awaitServed(10_000);
    cell.awaitAnswers(200_000);
    assertThat(cell.violations()).isEmpty();
    assertThat(cell.workers.runsOf("long")).hasSize(1);
    assertThat(running.isFinal()).isTrue();
  }

  private static void setIsolated(Cell cell, List<Instance> isolated, boolean isIsolated) {
    for (Instance a : isolated) {
      cell.store.setDisconnected(a.process, isIsolated);
      cell.instances.values().stream()
          .filter(b -> !isolated.contains(b))
          .forEach(b -> cell.peers.setCut(a.info.id(), b.info.id(), isIsolated));
    }
  }

  /** Guards against permits that remain unused in one partition while another one needs them. */
  @Test
  void permitsMoveToPartitionThatNeedsThemWithinLimit() {
    Cell cell = new Cell(6, 3, 2, 16);
    cell.commit(withTeamLimit(cell.manifest(), 10));
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

  /**
   * Guards against a read rate per instance that grows with the cell, and against manifest
   * confirmations that expire between the shared reads.
   */
  @ParameterizedTest
  @ValueSource(ints = {1, 3, 9})
  void idleInstancesShareControlStateReads(int instances) {
    Cell cell = new Cell(6, instances, 1, 4).start();
    cell.time.runFor(10_000);
    final int before = cell.store.calls("list");
    for (int i = 0; i < 1_200; i++) {
      cell.time.runFor(50);
      assertThat(cell.instances.values()).allMatch(x -> x.engine.isManifestConfirmed());
    }
    // Of the limit of 2 calls per second, lease renewals use 1.5, which leaves 0.5 for reads.
    double perSecond = (cell.store.calls("list") - before) / 60.0 / instances;
    assertThat(perSecond).isLessThan(instances == 1 ? 0.5 : 0.35);
    assertThat(perSecond).isGreaterThan(0.16);
  }
}
