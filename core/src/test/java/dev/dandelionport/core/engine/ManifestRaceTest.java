package dev.dandelionport.core.engine;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.engine.ManifestCommitter.Result;
import dev.dandelionport.core.manifest.Commit;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.port.StoreUnavailableException;
import dev.dandelionport.core.testing.Cell;
import dev.dandelionport.core.testing.Cell.Instance;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ManifestRaceTest {

  private boolean writing;

  /** A commit of one operator and its result or error. */
  private record CommitAttempt(Manifest manifest, Result result, Throwable error) {}

  /** An operator who repeatedly drains or returns a failure domain. */
  private static final class Operator {
    final List<CommitAttempt> attempts = new ArrayList<>();
    private final Cell cell;
    private final String name;
    private final Random random;
    private int startedCommits;

    Operator(Cell cell, String name, long seed) {
      this.cell = cell;
      this.name = name;
      this.random = new Random(seed);
    }

    void commit(Instance at) {
      final String author = name + "-" + ++startedCommits;
      ManifestCommitter commits = commits(cell, at);
      commits
          .readBase()
          .thenAccept(
              b -> {
                Manifest m = b.manifest().orElseThrow();
                boolean in = random.nextBoolean();
                Manifest next =
                    m.withInService("tallinn-a", in)
                        .withCommit(new Commit(author, cell.time.nowMillis()));
                // The operator reviews the change before it is written.
                at.process.schedule(
                    random.nextInt(40),
                    () ->
                        commits
                            .commit(b, next)
                            .whenComplete(
                                (r, e) -> attempts.add(new CommitAttempt(next, r, cause(e)))));
              });
    }

    private static Throwable cause(Throwable e) {
      return e == null || e.getCause() == null ? e : e.getCause();
    }
  }

  private static ManifestCommitter commits(Cell cell, Instance at) {
    return new ManifestCommitter(cell.store.client(at.process), () -> at.engine.state().manifest());
  }

  private static Manifest stored(Cell cell) {
    return JsonCodec.decode(cell.store.read(ControlKeys.MANIFEST).orElseThrow(), Manifest.class);
  }

  private static void collectManifests(Cell cell, Map<Long, Manifest> byVersion) {
    for (Instance i : cell.instances.values()) {
      i.engine
          .state()
          .manifest()
          .ifPresent(m -> assertThat(byVersion.computeIfAbsent(m.version(), v -> m)).isEqualTo(m));
    }
  }

  /**
   * Guards against a commit that silently overwrites a concurrent one, while an owner fails, the
   * store is down and replies are lost.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void oneOfTwoConcurrentCommitsFailsWithConflict(long seed) {
    Cell cell = new Cell(seed, 4, 2, 4).start();
    Random random = new Random(seed);
    List<Operator> operators =
        List.of(new Operator(cell, "anna", seed), new Operator(cell, "bert", -seed));
    Map<Long, Manifest> byVersion = new HashMap<>();
    cell.store.loseReplies((op, key) -> random.nextInt(6) == 0);
    for (int step = 0; step < 60; step++) {
      if (step == 20) {
        cell.serving(cell.manifest().partitions().get(0)).kill();
      } else if (step == 30) {
        cell.store.setDown(true);
        cell.time.afterMillis(1_500, () -> cell.store.setDown(false));
      }
      List<Instance> alive =
          cell.instances.values().stream().filter(i -> !i.process.isKilled()).toList();
      operators.forEach(o -> o.commit(alive.get(random.nextInt(alive.size()))));
      for (int i = 0; i < 20; i++) {
        cell.time.runFor(5);
        collectManifests(cell, byVersion);
      }
    }
    cell.store.loseReplies((op, key) -> false);
    cell.time.runFor(5_000);
    collectManifests(cell, byVersion);
    Map<Long, Manifest> committed = new HashMap<>();
    int conflicts = 0;
    int unknown = 0;
    for (Operator o : operators) {
      for (CommitAttempt t : o.attempts) {
        if (t.error() != null) {
          assertThat(t.error()).isInstanceOf(StoreUnavailableException.class);
          unknown++;
        } else if (t.result().committed()) {
          assertThat(committed.put(t.manifest().version(), t.manifest())).isNull();
        } else {
          conflicts++;
          assertThat(t.result().winner().orElseThrow().commit())
              .isNotEqualTo(t.manifest().commit());
          assertThat(byVersion).doesNotContainValue(t.manifest());
        }
      }
    }
    // Every manifest reported as committed is the one that all instances have under that version.
    committed.forEach((v, m) -> assertThat(byVersion.getOrDefault(v, m)).isEqualTo(m));
    assertThat(committed.size()).isGreaterThan(20);
    assertThat(conflicts).isGreaterThan(10);
    assertThat(stored(cell).version() - 1)
        .isBetween((long) committed.size(), committed.size() + (long) unknown);
    assertThat(cell.instances.values().stream().filter(i -> !i.process.isKilled()))
        .allMatch(i -> i.engine.state().manifest().orElseThrow().equals(stored(cell)));
    assertThat(cell.violations()).isEmpty();
  }

  /**
   * Guards against a commit that is based on an old manifest because the store was restored from a
   * backup.
   */
  @Test
  void commitAfterStoreRestoreIsBasedOnNewestManifest() {
    Cell cell = new Cell(3, 3, 1, 4).start();
    byte[] old = cell.store.read(ControlKeys.MANIFEST).orElseThrow();
    Manifest newest = cell.manifest().withInService("tallinn-a", false);
    cell.commit(newest);
    cell.time.runFor(200);
    cell.store.putUnconditionally(ControlKeys.MANIFEST, old);
    // The operator commits before an instance writes the newest manifest back.
    cell.store.loseRequests(
        (op, key) -> op.equals("swap") && key.equals(ControlKeys.MANIFEST) && !writing);
    ManifestCommitter commits = commits(cell, cell.instances.get("tallinn-1"));
    List<Result> results = new ArrayList<>();
    commits
        .readBase()
        .thenCompose(
            b -> {
              assertThat(b.manifest()).contains(newest);
              writing = true;
              return commits.commit(b, newest.withInService("tallinn-b", false));
            })
        .thenAccept(results::add);
    cell.time.runFor(1_000);
    assertThat(results).hasSize(1);
    assertThat(results.get(0).committed()).isTrue();
    assertThat(stored(cell)).isEqualTo(newest.withInService("tallinn-b", false));
    assertThat(cell.violations()).isEmpty();
  }
}
