package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.message.JobReply;
import dev.dandelionport.core.message.PeerMessage;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.port.PeerException;
import dev.dandelionport.core.routing.OwnerDirectory;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.scheduler.JobStatus;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

/** Runs a router with virtual time; the test answers in place of the owners. */
final class RouterHarness implements OwnerDirectory {

  /** Offset of the owners' clocks from the router's clock, in nanoseconds. */
  static final long CLOCK_OFFSET_NANOS = -5_000_000_000_000L;

  static final PartitionId PARTITION = new PartitionId("tallinn", 0);

  /** A message that the router sent, and the future of its answer. */
  record Sent(String to, PeerMessage message, CompletableFuture<PeerMessage> answer) {
    void reply(JobReply.Outcome outcome) {
      answer.complete(new PeerMessage.JobAnswer(JobReply.of(outcome, outcome.name())));
    }

    void succeed(JobKey job) {
      JobStatus s = new JobStatus(job, JobPhase.SUCCEEDED, List.of("done"), "", 1, 2, 3);
      answer.complete(new PeerMessage.JobAnswer(JobReply.of(s)));
    }

    void fail(boolean sent) {
      answer.completeExceptionally(new PeerException("broken", sent, null));
    }
  }

  private record Action(long atMillis, long number, Runnable action) {}

  final List<Sent> sent = new ArrayList<>();
  final Set<InstanceId> suspects = new HashSet<>();
  String owner = "b";
  int admission = 1_000;
  RuntimeException receiveFailure;
  private final PriorityQueue<Action> actions =
      new PriorityQueue<>(Comparator.comparing(Action::atMillis).thenComparing(Action::number));
  private long millis;
  private long actionCount;

  final JobRouter router =
      new JobRouter(
          this,
          (peer, message, timeout) -> recordSent(peer.id().value(), message),
          new TimeSource() {
            @Override
            public long wallMillis() {
              return millis;
            }

            @Override
            public long monotonicNanos() {
              return millis * 1_000_000;
            }
          },
          (delay, action) -> actions.add(new Action(millis + delay, actionCount++, action)));

  private CompletableFuture<PeerMessage> recordSent(String to, PeerMessage m) {
    if (m instanceof PeerMessage.ClockCall) {
      PeerMessage clock = new PeerMessage.ClockAnswer(millis * 1_000_000 + CLOCK_OFFSET_NANOS);
      return CompletableFuture.completedFuture(clock);
    }
    CompletableFuture<PeerMessage> f = new CompletableFuture<>();
    sent.add(new Sent(to, m, f));
    return f;
  }

  /** Advances the virtual time and runs the actions that become due. */
  void advance(long forMillis) {
    long until = millis + forMillis;
    while (!actions.isEmpty() && actions.peek().atMillis() <= until) {
      Action a = actions.remove();
      millis = a.atMillis();
      a.action().run();
    }
    millis = until;
  }

  /** Returns the message that was sent last. */
  Sent last() {
    return sent.get(sent.size() - 1);
  }

  /** Advances the virtual time until the router sends another message, and returns that message. */
  Sent next() {
    int before = sent.size();
    for (int i = 0; i < 1_000 && sent.size() == before; i++) {
      advance(1);
    }
    if (sent.size() == before) {
      throw new AssertionError("the router sent no message within 1 s");
    }
    return last();
  }

  static JobSpec job(String requestKey, boolean repeatable) {
    return new JobSpec(
        new JobKey(new TeamId("team"), requestKey),
        "",
        WorkloadClass.URGENT,
        100_000,
        new ResourceVector(1, 1, 100, 100, 0),
        1,
        100,
        repeatable,
        "run=1",
        "print");
  }

  @Override
  public InstanceInfo self() {
    return info("self");
  }

  private static InstanceInfo info(String id) {
    return new InstanceInfo(new InstanceId(id), "tallinn", "fd-a", "127.0.0.1", 1);
  }

  @Override
  public Optional<PartitionId> homePartition(JobKey job) {
    return Optional.of(PARTITION);
  }

  @Override
  public Optional<InstanceInfo> ownerOf(PartitionId partition) {
    return Optional.ofNullable(owner).map(RouterHarness::info);
  }

  @Override
  public boolean isSuspected(InstanceId instance) {
    return suspects.contains(instance);
  }

  @Override
  public Optional<Integer> admissionPerSecond(TeamId team) {
    return Optional.of(admission);
  }

  @Override
  public CompletableFuture<PeerMessage> receive(PeerMessage message) {
    CompletableFuture<PeerMessage> f = recordSent("self", message);
    if (receiveFailure != null) {
      throw receiveFailure;
    }
    return f;
  }
}
