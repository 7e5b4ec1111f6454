package dev.dandelionport.standin.load;

/**
 * Final outcome of a request from the caller's point of view.
 *
 * @param request the request
 * @param verdict kind of outcome
 * @param reason explanation, empty if answered
 * @param submittedMillis when the caller first sent the request
 * @param answeredMillis when the outcome was known
 */
record LoadOutcome(
    LoadRequest request,
    Verdict verdict,
    String reason,
    long submittedMillis,
    long answeredMillis) {

  /** Kind of outcome. */
  enum Verdict {
    /** Correct results of all tasks or, for a cancelled job, the confirmation. */
    ANSWERED,
    /** The job did not run and will not run. */
    REFUSED,
    /** No answer or a wrong answer. */
    LOST
  }
}
