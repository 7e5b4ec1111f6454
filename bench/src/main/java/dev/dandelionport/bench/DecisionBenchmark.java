package dev.dandelionport.bench;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import dev.dandelionport.core.scheduler.Effect;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.scheduler.PartitionScheduler;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/**
 * Measures the time of one placement in a steady state: the oldest running task ends, and one job
 * is submitted and placed. About three tasks run per worker, as at the design size.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.SampleTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {

  /** Number of workers in the cell. */
  @Param({"30", "300", "1500"})
  public int workers;

  private record StartedTask(AttemptId attempt, WorkerId worker) {}

  private final Map<WorkerId, Map<AttemptId, ResourceVector>> running = new HashMap<>();

  private final Deque<StartedTask> startedTasks = new ArrayDeque<>();
  private SplittableRandom random;
  private PartitionSchedulerAdapter scheduler;
  private long now;
  private long submittedJobs;

  /** Creates the scheduler and submits jobs until about three tasks run per worker. */
  @Setup(Level.Iteration)
  public void fillCell() {
    random = new SplittableRandom(9);
    Scenario s = new Scenario(workers, 0, 0, Scenario.Outage.NONE, false, 9);
    scheduler = new PartitionSchedulerAdapter(s.manifest());
    now = Scenario.START_MILLIS;
    startedTasks.clear();
    running.clear();
    scheduler.handle(new Event.FleetChanged(s.fleet()), now);
    scheduler.handle(new Event.PermitsChanged(s.permits()), now);
    for (WorkerInfo w : s.fleet()) {
      report(w.id(), List.of());
    }
    for (int i = 0; i < workers * 44 / 15; i++) {
      submit();
    }
  }

  /** Ends the oldest task and submits a job: two events, one placement. */
  @Benchmark
  public int placement() {
    StartedTask o = startedTasks.poll();
    running.get(o.worker()).remove(o.attempt());
    report(
        o.worker(), List.of(new SyncReply.Finished(0, o.attempt(), AttemptOutcome.SUCCEEDED, "")));
    return submit();
  }

  private void report(WorkerId w, List<SyncReply.Finished> finished) {
    List<SyncReply.Running> listed = new ArrayList<>();
    running
        .getOrDefault(w, Map.of())
        .forEach((a, size) -> listed.add(new SyncReply.Running(a, size, now)));
    SyncReply r = new SyncReply("i", now, listed, finished, ResourceVector.ZERO, false);
    recordStarts(scheduler.handle(new Event.WorkerReport(w, r), now));
  }

  private int submit() {
    now += 2;
    int team = random.nextInt(Scenario.TEAMS);
    boolean urgent = random.nextInt(3) == 0;
    ResourceVector size =
        new ResourceVector(1, 1 + random.nextInt(4), 1_000 << random.nextInt(4), 2_000, 0);
    JobSpec s =
        new JobSpec(
            new JobKey(new TeamId("t" + team), "j" + submittedJobs++),
            "",
            urgent ? WorkloadClass.URGENT : WorkloadClass.DEFERRABLE,
            now + 60_000,
            size,
            1,
            1_000,
            true,
            "",
            "");
    return recordStarts(scheduler.handle(new Event.Submit(s), now));
  }

  PartitionScheduler scheduler() {
    return scheduler.scheduler();
  }

  private int recordStarts(List<Effect> effects) {
    int started = 0;
    for (Effect e : effects) {
      if (e instanceof Effect.StartTask x) {
        startedTasks.add(new StartedTask(x.attempt(), x.worker()));
        running
            .computeIfAbsent(x.worker(), k -> new LinkedHashMap<>())
            .put(x.attempt(), x.spec().taskSize());
        started++;
      }
    }
    return started;
  }
}
