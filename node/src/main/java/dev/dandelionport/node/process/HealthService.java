package dev.dandelionport.node.process;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.engine.ControlState;
import dev.dandelionport.core.engine.InstanceEngine;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.Timer;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/**
 * Liveness and readiness checks for the platform's load balancer. Responses are built from local
 * state without calls to other processes, and list only a few reasons.
 */
final class HealthService {

  /** Interval of the timer action that shows that the timer is running, in milliseconds. */
  private static final long TIMER_CHECK_MILLIS = 1_000;

  /** Time without a timer run after which the process is reported as not live, in milliseconds. */
  private static final long TIMER_STALL_MILLIS = 15_000;

  /** Maximum number of partitions listed in one reason. */
  private static final int MAX_LISTED_PARTITIONS = 5;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final InstanceEngine engine;
  private final TimeSource time;
  private final Timer timer;
  private volatile long lastTimerRunNanos;

  HealthService(InstanceEngine engine, TimeSource time, Timer timer) {
    this.engine = engine;
    this.time = time;
    this.timer = timer;
    this.lastTimerRunNanos = time.monotonicNanos();
  }

  /**
   * Starts the periodic check of the timer. Each run also calls the engine, so that a deadlock on
   * its lock stops the check too.
   */
  void start() {
    engine.serving();
    lastTimerRunNanos = time.monotonicNanos();
    timer.schedule(TIMER_CHECK_MILLIS, this::start);
  }

  /** Returns the reasons to replace the process; empty if it is live. */
  List<String> notLiveReasons() {
    long sinceTimerRunMillis = (time.monotonicNanos() - lastTimerRunNanos) / 1_000_000;
    return sinceTimerRunMillis <= TIMER_STALL_MILLIS
        ? List.of()
        : List.of("the timer has not run for " + sinceTimerRunMillis + " ms");
  }

  /** Returns the reasons to route callers to other instances; empty if this one is ready. */
  List<String> notReadyReasons() {
    List<String> reasons = new ArrayList<>();
    if (engine.isStopping()) {
      reasons.add("the instance is stopping");
    }
    ControlState s = engine.state();
    if (s.manifest().isEmpty()) {
      reasons.add("no manifest is known");
    } else {
      addUnreachablePartitions(s, s.manifest().get(), reasons);
    }
    if (s.manifest().isPresent() && !engine.isManifestConfirmed()) {
      reasons.add("the manifest is not confirmed to be the newest");
    }
    if (!engine.hasAuthority()) {
      reasons.add("the instance has no authority: its lease is not confirmed by the store");
    }
    return reasons;
  }

  private void addUnreachablePartitions(ControlState s, Manifest m, List<String> reasons) {
    Set<PartitionId> serving = engine.serving();
    InstanceId self = engine.self().id();
    List<PartitionId> unreachable =
        m.partitions().stream()
            .filter(p -> p.region().equals(engine.self().region()))
            .filter(p -> !serving.contains(p))
            .filter(
                p ->
                    engine
                        .ownerOf(p)
                        .map(InstanceInfo::id)
                        .filter(o -> !o.equals(self) && s.live().contains(o))
                        .isEmpty())
            .toList();
    if (!unreachable.isEmpty()) {
      List<PartitionId> listed =
          unreachable.subList(0, Math.min(MAX_LISTED_PARTITIONS, unreachable.size()));
      reasons.add(unreachable.size() + " partitions have no reachable owner: " + listed);
    }
  }

  /** Returns the response of the liveness check. */
  HttpResponse live() {
    return response("alive", notLiveReasons());
  }

  /** Returns the response of the readiness check. */
  HttpResponse ready() {
    return response("ready", notReadyReasons());
  }

  private static HttpResponse response(String name, List<String> reasons) {
    ObjectNode n = JSON.createObjectNode().put(name, reasons.isEmpty());
    reasons.forEach(n.putArray("reasons")::add);
    HttpStatus status = reasons.isEmpty() ? HttpStatus.OK : HttpStatus.SERVICE_UNAVAILABLE;
    return HttpResponse.of(status, MediaType.JSON, n.toString());
  }
}
