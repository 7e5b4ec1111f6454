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
 * A worker that only pretends to run tasks. Words in the payload control a task: it ends after
 * {@code run=N} milliseconds, fails if it contains {@code fail}, and must never be started a second
 * time if it contains {@code once}.
 */
public final class StandInWorker {

  /** Resources, by the names that the worker interface uses. */
  static final List<String> RESOURCES =
      List.of("slots", "connections", "milliCores", "memoryMb", "accelerators");

  /** Age of the usage that a sync reports, in milliseconds. */
  private static final long USAGE_LAG_MILLIS = 1_000;

  /** Time for which ended attempts are remembered; longer than any not-after time. */
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

  /** Attempts that ended here, with the time at which they did, oldest first. */
  private final LinkedHashMap<String, Long> endedAttempts = new LinkedHashMap<>();

  private String incarnation = UUID.randomUUID().toString();
  private CompletableFuture<Void> stateChanged = new CompletableFuture<>();

  /** Number of the next event; continues after a crash because owners acknowledge by number. */
  private long nextEvent = 1;

  private long leavingSinceMillis;
  private ObjectNode usage = JSON.createObjectNode();
  private ObjectNode nextUsage = JSON.createObjectNode();
  private long usageMillis;

  /** Creates an idle worker. */
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

  /** Returns the worker's name. */
  public String id() {
    return id;
  }

  /** Returns the faults that the worker shows. */
  public WorkerFaults faults() {
    return faults;
  }

  /** Announces that the worker is about to be taken away, or that it stays. */
  public synchronized void setLeaving(boolean leaves) {
    leavingSinceMillis = leaves ? System.currentTimeMillis() : 0;
    signalStateChange();
  }

  /** Loses all tasks and all memory and starts again with a new incarnation. */
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

  /** Serves a start order. */
  public synchronized ObjectNode start(JsonNode c) {
    long now = System.currentTimeMillis();
    String refusal = refusalReason(c, now);
    if (!refusal.isEmpty()) {
      return JSON.createObjectNode().put("accepted", false).put("reason", refusal);
    }
    String attempt = c.path("attempt").asText();
    if (!running.containsKey(attempt)) {
      runTask(c, attempt, now);
    }
    return JSON.createObjectNode().put("accepted", true).put("reason", "");
  }

  private String refusalReason(JsonNode c, long now) {
    if (!c.path("incarnation").asText().equals(incarnation)) {
      return "other incarnation";
    }
    if (now > c.path("notAfterWorkerMillis").asLong()) {
      return "not-after time has passed";
    }
    if (!raiseEpoch(c)) {
      return "epoch is out of date";
    }
    // A duplicated or delayed start must not run an attempt a second time.
    return endedAttempts.containsKey(c.path("attempt").asText()) ? "attempt has ended" : "";
  }

  private boolean raiseEpoch(JsonNode c) {
    long epoch = c.path("epoch").asLong();
    return epochs.merge(c.path("partition").asText(), epoch, Math::max) == epoch;
  }

  private void runTask(JsonNode c, String attempt, long now) {
    RunRecord r = RunRecord.start(attempt, id, failureDomain, now);
    long done = checkpoints.doneMillis(r.job());
    RunningTask t = new RunningTask(c, r, done);
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
    // After a crash the same attempt id may stand for another task of the next incarnation.
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

  /** Serves a stop or checkpoint order. */
  public synchronized ObjectNode stop(JsonNode c, String outcome) {
    end(c.path("attempt").asText(), outcome, "");
    return JSON.createObjectNode();
  }

  /** Serves a throttle order. */
  public synchronized ObjectNode throttle(JsonNode c) {
    RunningTask t = running.get(c.path("attempt").asText());
    if (t != null) {
      long now = System.currentTimeMillis();
      t.throttle(c.path("percent").asInt(), now);
      scheduleEnd(t, now);
    }
    return JSON.createObjectNode();
  }

  /**
   * Serves a sync request; waits for news if there is none. The leases of the partition's tasks are
   * renewed for {@code leaseMillis}, those of the attempts listed in {@code shortAttempts} only for
   * {@code shortLeaseMillis}.
   */
  public CompletableFuture<ObjectNode> sync(JsonNode q) {
    CompletableFuture<Void> wait;
    synchronized (this) {
      if (raiseEpoch(q)) {
        renewLeases(q);
        long acked = q.path("ackedEvent").asLong();
        finished.removeIf(f -> f.path("number").asLong() <= acked);
      }
      if (!finished.isEmpty() || q.path("waitMillis").asLong() == 0) {
        return CompletableFuture.completedFuture(syncReply());
      }
      wait = stateChanged;
    }
    return wait.copy()
        .completeOnTimeout(null, q.path("waitMillis").asLong(), TimeUnit.MILLISECONDS)
        .thenApply(v -> syncReply());
  }

  /** Renews each task's lease by its own length, unless the request came too late. */
  private void renewLeases(JsonNode q) {
    long now = System.currentTimeMillis();
    if (now > q.path("notAfterWorkerMillis").asLong()) {
      return;
    }
    String partition = q.path("partition").asText();
    Set<String> durable = new HashSet<>();
    q.path("durable").forEach(a -> durable.add(a.asText()));
    running.forEach(
        (attempt, t) -> {
          if (t.command.path("partition").asText().equals(partition)) {
            if (durable.contains(attempt)) {
              t.leaseMillis = q.path("leaseMillis").asLong();
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

  /** Describes the worker as the instance list does. */
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
