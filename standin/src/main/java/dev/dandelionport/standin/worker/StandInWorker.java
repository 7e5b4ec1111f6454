package dev.dandelionport.standin.worker;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Simulated worker. Words in the payload control a task: it ends after {@code run=N} milliseconds,
 * fails if the payload contains {@code fail}, and must not be started more than once if it contains
 * {@code once}.
 */
public final class StandInWorker {

  /** Resource names in the worker interface. */
  static final List<String> RESOURCES =
      List.of("slots", "connections", "milliCores", "memoryMb", "accelerators");

  /** Interval of usage measurements, in milliseconds; a sync reports the previous measurement. */
  private static final long USAGE_LAG_MILLIS = 1_000;

  /** Retention time of ended attempts, in milliseconds; longer than any not-after time. */
  private static final long ENDED_ATTEMPT_RETENTION_MILLIS = 120_000;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final String id;
  private final String failureDomain;
  private final Map<String, Long> capacity;
  private final ScheduledExecutorService timer;
  private final RunLog log;
  private final Checkpoints checkpoints;
  private final WorkerFaults faults = new WorkerFaults();
  private final Map<String, RunningTask> running = new LinkedHashMap<>();
  private final List<ObjectNode> finished = new ArrayList<>();
  private final Map<String, Long> epochs = new HashMap<>();

  /** End times of the attempts that ended on this worker, oldest first. */
  private final LinkedHashMap<String, Long> endedAttempts = new LinkedHashMap<>();

  private String incarnation = UUID.randomUUID().toString();
  private CompletableFuture<Void> stateChanged = new CompletableFuture<>();

  /** Number of the next event; not reset by a crash because owners acknowledge by number. */
  private long nextEvent = 1;

  private long leavingSinceMillis;
  private ObjectNode usage = JSON.createObjectNode();
  private ObjectNode nextUsage = JSON.createObjectNode();
  private long usageMillis;

  /** Creates a worker without tasks. */
  public StandInWorker(
      String id,
      String failureDomain,
      Map<String, Long> capacity,
      ScheduledExecutorService timer,
      RunLog log,
      Checkpoints checkpoints) {
    this.id = id;
    this.failureDomain = failureDomain;
    this.capacity = Map.copyOf(capacity);
    this.timer = timer;
    this.log = log;
    this.checkpoints = checkpoints;
    measureUsage();
    measureUsage();
  }

  /** Returns the id of the worker. */
  public String id() {
    return id;
  }

  /** Returns the injected faults of the worker. */
  public WorkerFaults faults() {
    return faults;
  }

  /** Marks the worker as leaving, or clears that mark. */
  public synchronized void setLeaving(boolean leaves) {
    leavingSinceMillis = leaves ? System.currentTimeMillis() : 0;
    signalStateChange();
  }

  /** Simulates a crash: discards all tasks and state and restarts with a new incarnation. */
  public synchronized void crash() {
    for (String attempt : List.copyOf(running.keySet())) {
      remove(attempt, "CRASHED");
    }
    finished.clear();
    endedAttempts.clear();
    epochs.clear();
    incarnation = UUID.randomUUID().toString();
    signalStateChange();
  }

  /** Handles a start command and returns the reply. */
  public synchronized ObjectNode start(JsonNode command) {
    long now = System.currentTimeMillis();
    String refusal = refusalReason(command, now);
    if (!refusal.isEmpty()) {
      return JSON.createObjectNode().put("accepted", false).put("reason", refusal);
    }
    String attempt = command.path("attempt").asText();
    if (!running.containsKey(attempt)) {
      runTask(command, attempt, now);
    }
    return JSON.createObjectNode().put("accepted", true).put("reason", "");
  }

  private String refusalReason(JsonNode command, long now) {
    if (!command.path("incarnation").asText().equals(incarnation)) {
      return "other incarnation";
    }
    if (now > command.path("notAfterWorkerMillis").asLong()) {
      return "not-after time has passed";
    }
    if (!raiseEpoch(command)) {
      return "epoch is out of date";
    }
    // A duplicated or delayed start command must not run an attempt a second time.
    return endedAttempts.containsKey(command.path("attempt").asText()) ? "attempt has ended" : "";
  }

  private boolean raiseEpoch(JsonNode request) {
    long epoch = request.path("epoch").asLong();
    return epochs.merge(request.path("partition").asText(), epoch, Math::max) == epoch;
  }

  private void runTask(JsonNode command, String attempt, long now) {
    RunRecord r = RunRecord.start(attempt, id, failureDomain, now);
    long done = checkpoints.doneMillis(r.job());
    RunningTask t = new RunningTask(command, r, done);
    running.put(attempt, t);
    log.started(r, t.hasWord("once"), overcommitted(), leavingSinceMillis);
    scheduleEnd(t, now);
  }

  private void scheduleEnd(RunningTask t, long now) {
    if (t.scheduledEnd != null) {
      t.scheduledEnd.cancel(false);
    }
    boolean fails = faults.failsEverything || t.hasWord("fail");
    String result = fails ? "task failed" : "done " + t.payload();
    String outcome = fails ? "FAILED" : "SUCCEEDED";
    String attempt = t.record.attempt();
    t.scheduledEnd =
        timer.schedule(
            () -> end(t, attempt, outcome, result), t.remainingMillis(now), TimeUnit.MILLISECONDS);
  }

  private boolean overcommitted() {
    for (String name : RESOURCES) {
      long used = running.values().stream().mapToLong(t -> t.size(name)).sum();
      if (used > capacity.getOrDefault(name, 0L)) {
        return true;
      }
    }
    return false;
  }

  private synchronized void end(RunningTask t, String attempt, String outcome, String result) {
    // After a crash the same attempt id may belong to another task of the next incarnation.
    if (running.get(attempt) == t) {
      end(attempt, outcome, result);
    }
  }

  private void end(String attempt, String outcome, String result) {
    RunningTask t = remove(attempt, outcome);
    if (t == null) {
      return;
    }
    if (outcome.equals("CHECKPOINTED")) {
      checkpoints.save(t.record.job(), t.doneMillis(System.currentTimeMillis()));
    } else if (outcome.equals("SUCCEEDED")) {
      checkpoints.remove(t.record.job());
    }
    ObjectNode event = JSON.createObjectNode();
    event.put("number", nextEvent++).put("attempt", attempt);
    event.put("outcome", outcome).put("result", result);
    finished.add(event);
    signalStateChange();
  }

  private RunningTask remove(String attempt, String outcome) {
    RunningTask t = running.remove(attempt);
    if (t != null) {
      long now = System.currentTimeMillis();
      t.scheduledEnd.cancel(false);
      log.ended(t.record.end(now, outcome));
      endedAttempts.put(attempt, now);
      endedAttempts.values().removeIf(ended -> ended < now - ENDED_ATTEMPT_RETENTION_MILLIS);
    }
    return t;
  }

  private void signalStateChange() {
    CompletableFuture<Void> f = stateChanged;
    stateChanged = new CompletableFuture<>();
    timer.execute(() -> f.complete(null));
  }

  /** Handles a stop or checkpoint command. */
  public synchronized ObjectNode stop(JsonNode command, String outcome) {
    end(command.path("attempt").asText(), outcome, "");
    return JSON.createObjectNode();
  }

  /** Handles a throttle command. */
  public synchronized ObjectNode throttle(JsonNode command) {
    RunningTask t = running.get(command.path("attempt").asText());
    if (t != null) {
      long now = System.currentTimeMillis();
      t.throttle(command.path("percent").asInt(), now);
      scheduleEnd(t, now);
    }
    return JSON.createObjectNode();
  }

  /**
   * Handles a sync request; without unacknowledged events it waits up to {@code waitMillis} for a
   * state change. Each task of the partition has its lease renewed for its own lease duration,
   * which becomes {@code leaseMillis} for the attempts listed in {@code durable}.
   */
  public CompletableFuture<ObjectNode> sync(JsonNode request) {
    CompletableFuture<Void> wait;
    synchronized (this) {
      if (raiseEpoch(request)) {
        renewLeases(request);
        long acked = request.path("ackedEvent").asLong();
        finished.removeIf(f -> f.path("number").asLong() <= acked);
      }
      if (!finished.isEmpty() || request.path("waitMillis").asLong() == 0) {
        return CompletableFuture.completedFuture(syncReply());
      }
      wait = stateChanged;
    }
    return wait.copy()
        .completeOnTimeout(null, request.path("waitMillis").asLong(), TimeUnit.MILLISECONDS)
        .thenApply(v -> syncReply());
  }

  /** Renews each task's lease for its own duration, unless the request arrived too late. */
  private void renewLeases(JsonNode request) {
    long now = System.currentTimeMillis();
    if (now > request.path("notAfterWorkerMillis").asLong()) {
      return;
    }
    String partition = request.path("partition").asText();
    Set<String> durable = new HashSet<>();
    request.path("durable").forEach(a -> durable.add(a.asText()));
    running.forEach(
        (attempt, t) -> {
          if (t.command.path("partition").asText().equals(partition)) {
            if (durable.contains(attempt)) {
              t.leaseMillis = request.path("leaseMillis").asLong();
            }
            t.leaseUntilMillis = now + t.leaseMillis;
          }
        });
  }

  private synchronized ObjectNode syncReply() {
    ObjectNode r = JSON.createObjectNode();
    r.put("incarnation", incarnation).put("workerClockMillis", System.currentTimeMillis());
    ArrayNode tasks = r.putArray("running");
    running.forEach(
        (attempt, t) -> {
          ObjectNode n = tasks.addObject().put("attempt", attempt);
          n.set("size", t.command.path("size"));
          n.put("startedWorkerMillis", t.record.startedMillis());
        });
    ArrayNode ended = r.putArray("finished");
    finished.forEach(ended::add);
    r.set("usage", usage);
    r.put("leaving", leavingSinceMillis > 0);
    return r;
  }

  /** Stops the tasks whose lease has expired and measures usage. */
  public synchronized void tick() {
    long now = System.currentTimeMillis();
    running.entrySet().stream()
        .filter(e -> e.getValue().leaseUntilMillis <= now)
        .map(Map.Entry::getKey)
        .toList()
        .forEach(attempt -> end(attempt, "LOST", "task lease expired"));
    if (now - usageMillis >= USAGE_LAG_MILLIS) {
      usageMillis = now;
      measureUsage();
    }
  }

  private void measureUsage() {
    usage = nextUsage;
    nextUsage = JSON.createObjectNode();
    for (String name : RESOURCES) {
      nextUsage.put(name, running.values().stream().mapToLong(t -> t.usage(name)).sum());
    }
  }

  /** Returns the entry of this worker in the instance list. */
  public synchronized ObjectNode describe(String region, String rack, String host, int port) {
    ObjectNode n = JSON.createObjectNode();
    n.put("id", id).put("region", region).put("failureDomain", failureDomain).put("rack", rack);
    n.put("host", host).put("port", port);
    ObjectNode c = n.putObject("capacity");
    capacity.forEach(c::put);
    n.put("leaving", leavingSinceMillis > 0);
    return n;
  }
}
