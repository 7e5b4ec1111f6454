package dev.dandelionport.core.testing;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.InstanceList;
import dev.dandelionport.core.port.StartCommand;
import dev.dandelionport.core.port.StartReply;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.SyncRequest;
import dev.dandelionport.core.port.WorkerClient;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Fake workers of the platform: they run tasks under leases, check starts, and record runs. A
 * payload {@code run=N} sets the run time in milliseconds; {@code once} marks a task that must not
 * run twice.
 */
public final class FakeWorkers {

  /** One run of a task on a worker. */
  public static final class Run {
    public final AttemptId attempt;
    public final WorkerId worker;
    public final long startedMillis;
    public long endedMillis;
    public AttemptOutcome outcome;
    final StartCommand command;
    long leaseMillis;
    long leaseUntilMillis;

    Run(StartCommand command, WorkerId worker, long now) {
      this.command = command;
      this.attempt = command.attempt();
      this.worker = worker;
      this.startedMillis = now;
    }

    public String task() {
      return attempt.job() + "#" + attempt.task();
    }
  }

  private final VirtualTime time;
  private final Map<WorkerId, Worker> workers = new TreeMap<>();
  private final List<Run> runs = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> limits = new HashMap<>();
  private final Map<String, Long> drainedSince = new HashMap<>();
  Predicate<StartCommand> startReplyLost = c -> false;
  Predicate<StartCommand> startDelayed = c -> false;
  private Consumer<StartCommand> onStart = c -> {};
  private Consumer<Run> onEnd = r -> {};
  double duplicateFraction;
  private long syncs;
  long delayMillis;

  public FakeWorkers(VirtualTime time) {
    this.time = time;
  }

  public void add(WorkerInfo info) {
    workers.put(info.id(), new Worker(info));
  }

  /**
   * Makes a worker stop answering, while its tasks run on until their leases end, or answer again.
   */
  public void setUnresponsive(WorkerId id, boolean unresponsive) {
    workers.get(id).unresponsive = unresponsive;
  }

  /** Disconnects a process from a worker, or connects it again. */
  public void setDisconnected(WorkerId id, FakeProcess p, boolean isDisconnected) {
    Set<FakeProcess> processes = workers.get(id).disconnected;
    if (isDisconnected) {
      processes.add(p);
    } else {
      processes.remove(p);
    }
  }

  /** Restarts a worker: its tasks are lost and its incarnation is new. */
  public void restart(WorkerId id) {
    workers.get(id).restart();
  }

  /** Leaves the syncs that wait at a worker unanswered, as on stalled connections. */
  public void loseWaitingSyncs(WorkerId id) {
    Worker w = workers.get(id);
    w.lastLostSync = w.lastSyncNumber;
  }

  /** Returns how many syncs have reached the workers. */
  public long syncs() {
    return syncs;
  }

  public void loseStartReplies(Predicate<StartCommand> which) {
    startReplyLost = which;
  }

  /** Delays matching starts in transit, as a paused sender or a slow network does. */
  public void delayStarts(Predicate<StartCommand> which, long millis) {
    startDelayed = which;
    delayMillis = millis;
  }

  /** Sets a hook that is called when a start reaches a worker, before it takes effect. */
  public void onStart(Consumer<StartCommand> hook) {
    onStart = hook;
  }

  public void onEnd(Consumer<Run> hook) {
    onEnd = hook;
  }

  /** Delivers this fraction of the messages a second time, up to 300 ms later. */
  public void duplicate(double fraction) {
    duplicateFraction = fraction;
  }

  /** Sets the team limits that the checks apply from now on. */
  public void setLimits(Map<String, Integer> byTeam) {
    limits.putAll(byTeam);
  }

  /** Records for the checks that a failure domain is drained from now on, or back in service. */
  public void setDrained(String domain, boolean isDrained) {
    if (isDrained) {
      drainedSince.putIfAbsent(domain, time.nowMillis());
    } else {
      drainedSince.remove(domain);
    }
  }

  public List<Run> runs() {
    return runs;
  }

  public List<Run> runsOf(String requestKey) {
    return runs.stream().filter(r -> r.attempt.job().requestKey().equals(requestKey)).toList();
  }

  public long running(TeamId team) {
    return runs.stream()
        .filter(r -> r.endedMillis == 0 && r.attempt.job().team().equals(team))
        .count();
  }

  public List<String> violations() {
    return violations;
  }

  public InstanceList instanceList(FakeProcess p) {
    return region -> {
      CompletableFuture<List<WorkerInfo>> f = new CompletableFuture<>();
      List<WorkerInfo> list =
          workers.values().stream()
              .map(w -> w.info)
              .filter(i -> i.region().equals(region))
              .toList();
      p.schedule(2, () -> f.complete(list));
      return f;
    };
  }

  public WorkerClient client(FakeProcess p) {
    return new FakeWorkerClient(this, time, p);
  }

  Worker worker(WorkerId id) {
    return workers.get(id);
  }

  private void checkStart(Run r, Worker w) {
    for (Run other : runs) {
      if (other.task().equals(r.task())) {
        if (other.endedMillis == 0) {
          violations.add("task runs twice at once: " + other.attempt + " and " + r.attempt);
        }
        if (r.command.payload().contains("once")) {
          violations.add("non-repeatable task started again: " + r.attempt);
        }
      }
    }
    runs.add(r);
    ResourceVector used = ResourceVector.ZERO;
    for (Run other : w.running.values()) {
      used = used.plus(other.command.size());
    }
    if (!used.fitsIn(w.info.capacity())) {
      violations.add("worker over capacity: " + w.info.id() + " by " + r.attempt);
    }
    TeamId team = r.attempt.job().team();
    if (running(team) > limits.getOrDefault(team.value(), Integer.MAX_VALUE)) {
      violations.add("team over limit: " + r.attempt);
    }
    Long since = drainedSince.get(w.info.failureDomain());
    if (since != null && time.nowMillis() > since + 3_000) {
      violations.add("start in drained domain: " + r.attempt);
    }
  }

  final class Worker {
    final WorkerInfo info;
    final Map<AttemptId, Run> running = new LinkedHashMap<>();
    final Set<AttemptId> seen = new HashSet<>();
    final List<SyncReply.Finished> finished = new ArrayList<>();
    final List<Runnable> pendingSyncs = new ArrayList<>();
    final Set<FakeProcess> disconnected = new HashSet<>();
    final Map<PartitionId, Long> epochs = new HashMap<>();
    final long clockOffset = time.random().nextInt(1_000_000);
    int incarnation = 1;
    long nextEvent = 1;
    boolean unresponsive;
    long lastSyncNumber;
    long lastLostSync;

    Worker(WorkerInfo info) {
      this.info = info;
    }

    long clock() {
      return time.nowMillis() + clockOffset;
    }

    void restart() {
      List.copyOf(running.values()).forEach(r -> end(r, AttemptOutcome.LOST));
      finished.clear();
      seen.clear();
      epochs.clear();
      incarnation++;
    }

    boolean acceptEpoch(PartitionId p, long epoch) {
      return epochs.merge(p, epoch, Math::max) == epoch;
    }

    StartReply start(StartCommand c) {
      if (!c.incarnation().equals("" + incarnation)) {
        return new StartReply(false, "other incarnation");
      } else if (clock() > c.notAfterWorkerMillis()) {
        return new StartReply(false, "not-after time has passed");
      } else if (!acceptEpoch(c.partition(), c.epoch())) {
        return new StartReply(false, "epoch is out of date");
      } else if (!seen.add(c.attempt())) {
        return new StartReply(true, "");
      }
      onStart.accept(c);
      Run r = new Run(c, info.id(), time.nowMillis());
      running.put(c.attempt(), r);
      checkStart(r, this);
      renew(r, c.leaseMillis());
      long millis = 20;
      for (String word : c.payload().split(" ")) {
        millis = word.startsWith("run=") ? Long.parseLong(word.substring(4)) : millis;
      }
      time.afterMillis(millis, () -> end(r, AttemptOutcome.SUCCEEDED));
      return new StartReply(true, "");
    }

    void renew(Run r, long leaseMillis) {
      r.leaseMillis = leaseMillis;
      r.leaseUntilMillis = time.nowMillis() + leaseMillis;
      time.afterMillis(
          leaseMillis,
          () -> {
            if (r.leaseUntilMillis <= time.nowMillis()) {
              end(r, AttemptOutcome.LOST);
            }
          });
    }

    void end(Run r, AttemptOutcome outcome) {
      if (r.endedMillis != 0) {
        return;
      }
      r.endedMillis = time.nowMillis();
      r.outcome = outcome;
      running.remove(r.attempt);
      finished.add(new SyncReply.Finished(nextEvent++, r.attempt, outcome, "done"));
      onEnd.accept(r);
      List<Runnable> waiting = List.copyOf(pendingSyncs);
      pendingSyncs.clear();
      waiting.forEach(Runnable::run);
    }

    void sync(SyncRequest q, Consumer<SyncReply> answer) {
      syncs++;
      if (!acceptEpoch(q.partition(), q.epoch())) {
        return;
      }
      finished.removeIf(f -> f.number() <= q.ackedEvent());
      for (Run r : running.values()) {
        if (clock() <= q.notAfterWorkerMillis()) {
          renew(r, q.durable().contains(r.attempt) ? q.leaseMillis() : r.leaseMillis);
        }
      }
      if (!finished.isEmpty() || q.waitMillis() == 0) {
        answer.accept(state());
        return;
      }
      boolean[] done = new boolean[1];
      long number = ++lastSyncNumber;
      Runnable poll =
          () -> {
            if (!done[0] && number > lastLostSync) {
              done[0] = true;
              answer.accept(state());
            }
          };
      pendingSyncs.add(poll);
      time.afterMillis(q.waitMillis(), poll);
    }

    SyncReply state() {
      List<SyncReply.Running> list =
          running.values().stream()
              .map(r -> new SyncReply.Running(r.attempt, r.command.size(), r.startedMillis))
              .toList();
      return new SyncReply("" + incarnation, clock(), list, finished, ResourceVector.ZERO, false);
    }
  }
}
