package dev.dandelionport.core.message;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.JsonProperty;
import dev.dandelionport.core.common.InstanceId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.ownership.AssignmentTable;
import dev.dandelionport.core.port.InstanceInfo;
import dev.dandelionport.core.scheduler.Explanation;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.workflow.StepKey;
import dev.dandelionport.core.workflow.WorkflowState;
import java.util.List;
import java.util.Map;

/** A message from one instance to another. */
public sealed interface PeerMessage {

  /**
   * Reports to a peer that the sender is alive, with its versions of the shared state. This is the
   * most frequent message, so its fields have short names.
   *
   * @param from sender
   * @param manifestVersion version of the newest manifest that the sender has
   * @param assignmentVersion version of the newest assignment table that the sender has
   * @param suspects instances whose heartbeats the sender is missing
   */
  record Heartbeat(
      @JsonProperty("f") InstanceId from,
      @JsonProperty("m") long manifestVersion,
      @JsonProperty("a") long assignmentVersion,
      @JsonProperty("s") @JsonInclude(JsonInclude.Include.NON_EMPTY) List<InstanceId> suspects)
      implements PeerMessage {
    /** Copies the list, which is omitted from a frame if it is empty. */
    public Heartbeat {
      suspects = suspects == null ? List.of() : List.copyOf(suspects);
    }
  }

  /**
   * Answers a {@link Heartbeat} with the receiver's manifest version.
   *
   * @param manifestVersion version of the newest manifest that the receiver has
   * @param confirmedAgeMillis time since the receiver last confirmed that no newer manifest
   *     existed, in milliseconds; negative if it has no such confirmation
   */
  record HeartbeatAck(
      @JsonProperty("m") long manifestVersion, @JsonProperty("c") long confirmedAgeMillis)
      implements PeerMessage {}

  /** Sends a newer manifest to a peer. */
  record ManifestPush(Manifest manifest) implements PeerMessage {}

  /** Sends a newer assignment table to a peer. */
  record AssignmentPush(AssignmentTable table) implements PeerMessage {}

  /**
   * Answers an {@link AssignmentPush}.
   *
   * @param version version of the newest table that the receiver has now
   * @param waitMillis time until the receiver's own promises have expired, and any authority that
   *     it holds through promises of other members has ended
   */
  record AssignmentAck(long version, long waitMillis) implements PeerMessage {}

  /**
   * Requests a promise that the receiver will not claim a partition for a period, because the
   * sender cannot reach the store.
   *
   * @param from sender
   * @param assignmentVersion version of the newest assignment table that the sender has
   * @param holdMillis period of the promise, counted from the receipt of the request
   */
  record PromiseRequest(InstanceId from, long assignmentVersion, long holdMillis)
      implements PeerMessage {}

  /**
   * Answers a {@link PromiseRequest}.
   *
   * @param granted whether the receiver promises not to claim; it does so only if it has no newer
   *     table and cannot reach the store
   * @param manifestVersion version of the newest manifest that the receiver has
   */
  record PromiseReply(boolean granted, long manifestVersion) implements PeerMessage {}

  /**
   * Requests permits of a team that the partition {@code donor} does not use for the partition
   * {@code taker}.
   */
  record PermitDemand(PartitionId donor, PartitionId taker, TeamId team, int count)
      implements PeerMessage {}

  /**
   * Submits a job to the owner of its home partition and waits for the job to end.
   *
   * @param spec job
   * @param waitMillis remaining time for which the caller waits
   * @param traceparent trace context of the caller, or empty
   * @param notAfterNanos time on the receiver's monotonic clock after which this copy of the
   *     request must not be accepted; the same for all copies that an entry instance sends of one
   *     call
   */
  record SubmitCall(JobSpec spec, long waitMillis, String traceparent, long notAfterNanos)
      implements PeerMessage {}

  /** Has the owner refuse a request unless it already has the job; answered like a submit call. */
  record RefuseCall(JobKey job) implements PeerMessage {}

  /** Requests a reading of the receiver's monotonic clock. */
  record ClockCall() implements PeerMessage {}

  /**
   * Returns a reading of the monotonic clock of an instance, in nanoseconds since the clock's own
   * origin.
   */
  record ClockAnswer(long nanos) implements PeerMessage {}

  /** Requests the status of a job after waiting for it to end. */
  record StatusCall(JobKey job, long waitMillis) implements PeerMessage {}

  /** Cancels a job. */
  record CancelCall(JobKey job) implements PeerMessage {}

  /** Answers a submit, status or cancel call. */
  record JobAnswer(JobReply reply) implements PeerMessage {}

  /**
   * Requests the statistics of a partition from its owner, and an explanation of a job if {@code
   * job} is not null.
   */
  record InspectCall(PartitionId partition, JobKey job) implements PeerMessage {}

  /** Answers an {@link InspectCall}; unavailable parts are null. */
  record InspectAnswer(long manifestVersion, PartitionFigures figures, Explanation explanation)
      implements PeerMessage {}

  /**
   * Forwards a caller's request to the owner of the workflows.
   *
   * @param kind operation that the caller requests
   * @param host host name in the caller's request
   * @param path path in the caller's request
   * @param key API key, empty for none
   * @param body encoded workflow of a submission, otherwise empty
   * @param waitMillis time for which the sender waits for the answer, in milliseconds; 0 if unknown
   */
  record WorkflowCall(
      WorkflowCallKind kind, String host, String path, String key, byte[] body, long waitMillis)
      implements PeerMessage {

    /** Creates a call whose sender does not tell how long it waits. */
    public WorkflowCall(WorkflowCallKind kind, String host, String path, String key, byte[] body) {
      this(kind, host, path, key, body, 0);
    }

    /** Returns the same call of a sender that waits for the given time. */
    public WorkflowCall withWait(long millis) {
      return new WorkflowCall(kind, host, path, key, body, millis);
    }
  }

  /**
   * Answers a {@link WorkflowCall}.
   *
   * @param status result of the request
   * @param state state of the workflow, or null if the answer has none
   * @param pending number of waiting workflows
   * @param retryMillis time after which a refused caller should retry, in milliseconds
   * @param overShare whether it is refused only because its account is over its fair share; a field
   *     and not a status of its own, because a process that does not know it must be able to read
   *     the refusal
   */
  record WorkflowAnswer(
      WorkflowStatus status, WorkflowState state, int pending, long retryMillis, boolean overShare)
      implements PeerMessage {

    /** Creates an answer that is no refusal for an account's share. */
    public WorkflowAnswer(
        WorkflowStatus status, WorkflowState state, int pending, long retryMillis) {
      this(status, state, pending, retryMillis, false);
    }

    /** Creates an answer with a status only. */
    public static WorkflowAnswer of(WorkflowStatus status) {
      return new WorkflowAnswer(status, null, 0, 0);
    }
  }

  /**
   * An instance that is a candidate for owning the workflows.
   *
   * @param info the instance
   * @param capacity processing capacity as the owner, in thousandths of a core
   * @param mayClaim whether it can read the owner's key and is not shutting down
   */
  record Member(InstanceInfo info, long capacity, boolean mayClaim) {}

  /**
   * The owner of the workflows, as recorded under the owner's key in the store.
   *
   * @param info the owner
   * @param revision revision of its key
   * @param lease id of the lease of its key
   */
  record KnownOwner(InstanceInfo info, long revision, long lease) {}

  /**
   * Registers the sender with the owner of the workflows as an available instance; sent to any
   * other instance, it is a query for the current owner.
   *
   * @param member sender
   * @param ownerRevision highest revision of the owner's key that the sender has seen
   * @param wantsPeers whether the sender requests a list of other instances
   */
  record MemberCall(Member member, long ownerRevision, boolean wantsPeers) implements PeerMessage {}

  /**
   * Answers a {@link MemberCall}.
   *
   * @param owner whether the receiver is the owner
   * @param serves whether the receiver serves requests as the owner
   * @param known the owner according to the receiver if its revision is newer than the sender's,
   *     otherwise null
   * @param larger the largest instances that may claim and are clearly larger than the sender,
   *     largest first; empty if the receiver is not the owner
   * @param peers other instances that can read the owner's key, if the sender requested them
   */
  record MemberAnswer(
      boolean owner,
      boolean serves,
      @JsonInclude(JsonInclude.Include.NON_NULL) KnownOwner known,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Member> larger,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<InstanceInfo> peers)
      implements PeerMessage {
    /** Copies the lists, which are omitted from a frame if they are empty. */
    public MemberAnswer {
      larger = larger == null ? List.of() : List.copyOf(larger);
      peers = peers == null ? List.of() : List.copyOf(peers);
    }
  }

  /**
   * Requests that the receiver claim the ownership of the workflows.
   *
   * @param revision expected current revision of the owner's key; 0 if the key must not exist
   */
  record ClaimCall(long revision) implements PeerMessage {}

  /**
   * Answers a {@link ClaimCall}; {@code claims} is true if the receiver claims ownership or already
   * is the owner.
   */
  record ClaimAnswer(boolean claims) implements PeerMessage {}

  /** Has the receiver request advice from the advice service on behalf of the owner. */
  record AdviceCall(StepKey step, List<String> runners, long timeoutMillis)
      implements PeerMessage {}

  /** Answers an {@link AdviceCall}; {@code tickets} is null if the service did not answer. */
  record AdviceAnswer(Map<String, String> tickets, long validMillis) implements PeerMessage {}

  /** Acknowledges a message that has no other answer. */
  record Ack() implements PeerMessage {}
}
