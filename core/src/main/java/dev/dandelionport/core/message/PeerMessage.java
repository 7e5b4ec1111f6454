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
   * Tells a peer that the sender lives and what it knows. The most frequent message, so its fields
   * have short names.
   *
   * @param from sender
   * @param manifestVersion newest manifest it knows
   * @param assignmentVersion newest assignment table it knows
   * @param suspects instances it has not heard from
   */
  record Heartbeat(
      @JsonProperty("f") InstanceId from,
      @JsonProperty("m") long manifestVersion,
      @JsonProperty("a") long assignmentVersion,
      @JsonProperty("s") @JsonInclude(JsonInclude.Include.NON_EMPTY) List<InstanceId> suspects)
      implements PeerMessage {
    /** Copies the list, which is left out of a frame when it is empty. */
    public Heartbeat {
      suspects = suspects == null ? List.of() : List.copyOf(suspects);
    }
  }

  /**
   * Answers a {@link Heartbeat} with what the receiver knows of the manifest.
   *
   * @param manifestVersion newest manifest that the receiver knows
   * @param confirmedAgeMillis how long before this answer no newer manifest existed; negative if
   *     the receiver does not know
   */
  record HeartbeatAck(
      @JsonProperty("m") long manifestVersion, @JsonProperty("c") long confirmedAgeMillis)
      implements PeerMessage {}

  /** Hands a peer a newer manifest. */
  record ManifestPush(Manifest manifest) implements PeerMessage {}

  /** Hands a peer a newer assignment table. */
  record AssignmentPush(AssignmentTable table) implements PeerMessage {}

  /**
   * Answers an {@link AssignmentPush}.
   *
   * @param version newest table that the receiver knows now
   * @param waitMillis time from now until the receiver's promises, and what it does on the strength
   *     of other members' promises, have ended
   */
  record AssignmentAck(long version, long waitMillis) implements PeerMessage {}

  /**
   * Asks a member to promise that it will not claim a partition for a while, because the sender
   * cannot reach the store.
   *
   * @param from sender
   * @param assignmentVersion newest assignment table that the sender knows
   * @param holdMillis time from the receipt for which the promise must hold
   */
  record PromiseRequest(InstanceId from, long assignmentVersion, long holdMillis)
      implements PeerMessage {}

  /**
   * Answers a {@link PromiseRequest}.
   *
   * @param granted whether the receiver knows no newer table, cannot reach the store, and will not
   *     claim while the promise holds
   * @param manifestVersion newest manifest that the receiver knows
   */
  record PromiseReply(boolean granted, long manifestVersion) implements PeerMessage {}

  /** Asks the owner of {@code donor} for permits that it does not use. */
  record PermitDemand(PartitionId donor, PartitionId taker, TeamId team, int count)
      implements PeerMessage {}

  /**
   * Submits a job to the owner of its home partition and waits for it.
   *
   * @param spec job
   * @param waitMillis how long the caller still waits
   * @param traceparent trace context of the caller, or empty
   * @param notAfterNanos time on the receiver's monotonic clock after which this copy of the
   *     request must not be accepted; all copies that one entry instance sends of one call have the
   *     same
   */
  record SubmitCall(JobSpec spec, long waitMillis, String traceparent, long notAfterNanos)
      implements PeerMessage {}

  /** Asks the owner to refuse a request unless it knows the job; answered like a submit call. */
  record RefuseCall(JobKey job) implements PeerMessage {}

  /** Asks for the receiver's monotonic clock. */
  record ClockCall() implements PeerMessage {}

  /** Tells the monotonic clock of an instance, in nanoseconds of its own origin. */
  record ClockAnswer(long nanos) implements PeerMessage {}

  /** Asks how a job stands and waits for it to end. */
  record StatusCall(JobKey job, long waitMillis) implements PeerMessage {}

  /** Cancels a job. */
  record CancelCall(JobKey job) implements PeerMessage {}

  /** Answers a submit, status or cancel call. */
  record JobAnswer(JobReply reply) implements PeerMessage {}

  /** Asks the owner of a partition for its figures, and about a job if one is named. */
  record InspectCall(PartitionId partition, JobKey job) implements PeerMessage {}

  /** Answers an inspect call; parts that are not known are null. */
  record InspectAnswer(long manifestVersion, PartitionFigures figures, Explanation explanation)
      implements PeerMessage {}

  /**
   * Hands a caller's request to the owner of the workflows.
   *
   * @param kind what the caller wants
   * @param host host that the caller named
   * @param path path that the caller named
   * @param key API key, empty for none
   * @param body the encoded workflow of a submission, else empty
   */
  record WorkflowCall(WorkflowCallKind kind, String host, String path, String key, byte[] body)
      implements PeerMessage {}

  /**
   * Answers a {@link WorkflowCall}.
   *
   * @param status what became of the request
   * @param state state of the workflow, or null
   * @param pending number of workflows that wait
   * @param retryMillis when a refused caller should come back, milliseconds from now
   */
  record WorkflowAnswer(WorkflowStatus status, WorkflowState state, int pending, long retryMillis)
      implements PeerMessage {

    /** Answers with a status only. */
    public static WorkflowAnswer of(WorkflowStatus status) {
      return new WorkflowAnswer(status, null, 0, 0);
    }
  }

  /**
   * An instance that could own the workflows.
   *
   * @param info the instance
   * @param capacity how much work it can do as the owner, in thousandths of a core
   * @param mayClaim whether it can read the owner's key and is not about to stop
   */
  record Member(InstanceInfo info, long capacity, boolean mayClaim) {}

  /**
   * The owner of the workflows, as its key names it.
   *
   * @param info the owner
   * @param revision revision of its key
   * @param lease lease of its key
   */
  record KnownOwner(InstanceInfo info, long revision, long lease) {}

  /**
   * Tells the owner of the workflows which instance is there to help, and asks any instance for the
   * owner.
   *
   * @param member sender
   * @param ownerRevision highest revision of the owner's key that the sender has seen
   * @param wantsPeers whether the sender needs to know other instances
   */
  record MemberCall(Member member, long ownerRevision, boolean wantsPeers) implements PeerMessage {}

  /**
   * Answers a {@link MemberCall}.
   *
   * @param owner whether the receiver is the owner
   * @param serves whether it serves as the owner
   * @param known the owner that the receiver knows, if the sender has not seen its key; else null
   * @param larger the largest instances that may claim and are clearly larger than the sender, the
   *     largest first; empty if the receiver is not the owner
   * @param peers other instances that can read the owner's key, if the sender wants to know them
   */
  record MemberAnswer(
      boolean owner,
      boolean serves,
      @JsonInclude(JsonInclude.Include.NON_NULL) KnownOwner known,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<Member> larger,
      @JsonInclude(JsonInclude.Include.NON_EMPTY) List<InstanceInfo> peers)
      implements PeerMessage {
    /** Copies the lists, which are left out of a frame when they are empty. */
    public MemberAnswer {
      larger = larger == null ? List.of() : List.copyOf(larger);
      peers = peers == null ? List.of() : List.copyOf(peers);
    }
  }

  /**
   * Asks an instance to claim the workflows.
   *
   * @param revision revision that the owner's key must still have; 0 if there must be none
   */
  record ClaimCall(long revision) implements PeerMessage {}

  /** Answers a {@link ClaimCall}: whether the receiver claims, or is the owner already. */
  record ClaimAnswer(boolean claims) implements PeerMessage {}

  /** Asks an instance to ask for advice on behalf of the owner. */
  record AdviceCall(StepKey step, List<String> runners, long timeoutMillis)
      implements PeerMessage {}

  /** Answers an {@link AdviceCall}; {@code tickets} is null if the service did not answer. */
  record AdviceAnswer(Map<String, String> tickets, long validMillis) implements PeerMessage {}

  /** Acknowledges a message that has no other answer. */
  record Ack() implements PeerMessage {}
}
