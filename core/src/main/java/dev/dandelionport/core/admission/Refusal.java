package dev.dandelionport.core.admission;

/**
 * A decision not to accept a submission.
 *
 * @param reason why it is refused
 * @param returnMillis when the caller should return, on the owner's monotonic clock
 * @param early whether the caller returned before the time that it was given
 */
public record Refusal(RefusalReason reason, long returnMillis, boolean early) {}
