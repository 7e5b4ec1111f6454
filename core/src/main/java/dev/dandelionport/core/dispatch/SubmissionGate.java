package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.common.Shard;
import dev.dandelionport.core.message.PeerMessage.WorkflowAnswer;
import dev.dandelionport.core.message.PeerMessage.WorkflowCall;
import dev.dandelionport.core.message.WorkflowStatus;
import java.util.Optional;
import java.util.function.Supplier;

/**
 * Keeps submissions of unknown ids out of the journal while the store does not accept the owner's
 * writes. Made for outages of seconds under about a hundred submissions per second: in the journal
 * each of them would wait until its caller's deadline and get an answer that the caller cannot act
 * on. Guarded by the owner's shard.
 */
final class SubmissionGate {

  /**
   * Time without an accepted write from which the store counts as not accepting writes, in
   * milliseconds.
   */
  private static final long MAX_BLOCKED_MILLIS = 300;

  private static final long MIN_RETRY_MILLIS = 500;
  private static final long MAX_RETRY_MILLIS = 5_000;

  /**
   * Time after which a submission is tried again at a process that may no longer be the owner, in
   * milliseconds. All waiting callers do so, so it is longer than after a change of the owner.
   */
  private static final long UNSURE_OWNER_RETRY_MILLIS = 250;

  /** Age that callers may expect of a count at most, in milliseconds. */
  private static final long MAX_COUNT_AGE_MILLIS = 2_000;

  /**
   * What an owner knows of its contact to the store.
   *
   * @param blockedMillis time for which a write has waited while the store accepted none, 0 if none
   *     waits
   * @param contactAgeMillis time since the store last accepted a write or a renewal
   * @param ownership what it knows of its ownership
   */
  record StoreContact(long blockedMillis, long contactAgeMillis, Ownership ownership) {

    private boolean acceptsWrites() {
      return blockedMillis <= MAX_BLOCKED_MILLIS
          && (!ownership.renewalsFail() || contactAgeMillis <= MAX_BLOCKED_MILLIS);
    }
  }

  private final DispatchContext context;
  private final Shard shard;
  private final Supplier<StoreContact> storeContact;

  /** Creates a gate; {@code storeContact} supplies the present contact to the store. */
  SubmissionGate(DispatchContext context, Shard shard, Supplier<StoreContact> storeContact) {
    this.context = context;
    this.shard = shard;
    this.storeContact = storeContact;
  }

  /** Returns the answer to a submission of an unknown id, empty if it may enter the journal. */
  Optional<WorkflowAnswer> check(WorkflowCall c) {
    StoreContact contact = storeContact.get();
    if (contact.acceptsWrites()) {
      return Optional.empty();
    }
    // An outage that has lasted for some time is expected to last as long again.
    long retryMillis =
        Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, contact.blockedMillis()));
    return Optional.of(refuse(c, contact, "the store does not accept writes", retryMillis));
  }

  /** Returns the answer to a submission of an unknown id that is refused for another reason. */
  WorkflowAnswer refuse(WorkflowCall c, String reason, long retryMillis) {
    return refuse(c, storeContact.get(), reason, retryMillis);
  }

  /**
   * Returns a refusal if this process certainly is the owner. Otherwise the next owner may have
   * accepted the id, so the answer is "not the owner", and the caller's instance tries again.
   */
  private WorkflowAnswer refuse(
      WorkflowCall c, StoreContact contact, String reason, long retryMillis) {
    if (!contact.ownership().isCertain()) {
      return notOwner();
    }
    shard.runAfterUnlock(
        () ->
            context.report(
                DispatchTopic.REQUEST_REFUSED,
                "why",
                reason,
                "kind",
                c.kind().name(),
                "path",
                c.path(),
                "waitedMillis",
                0L,
                "uncertain",
                false));
    return new WorkflowAnswer(WorkflowStatus.REFUSED, null, 0, retryMillis);
  }

  /** Returns what this process knows of its ownership now. */
  Ownership ownership() {
    return storeContact.get().ownership();
  }

  /** Returns whether a count that is given now is not older than callers may expect. */
  boolean mayCount() {
    Ownership o = ownership();
    return o.isCertain() || o.confirmedAgeMillis() <= MAX_COUNT_AGE_MILLIS;
  }

  /** Returns an answer of a process that may no longer be the owner; it is tried again. */
  static WorkflowAnswer notOwner() {
    return new WorkflowAnswer(WorkflowStatus.NOT_OWNER, null, 0, UNSURE_OWNER_RETRY_MILLIS);
  }
}
