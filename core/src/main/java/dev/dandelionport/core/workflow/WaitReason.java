package dev.dandelionport.core.workflow;

/** Reason why a step waits. The texts appear in the log; docs/OPERATIONS.md explains them. */
enum WaitReason {
  NO_QUEUE("its queue is not configured"),
  PREVIOUS_RUN_ACTIVE("members of its gang's earlier run have not ended"),
  RETRY_DELAY("it failed and is tried again later"),
  ACCOUNT_CEILING("its account is at its ceiling"),
  NOT_REACHED("the pass ended before it"),
  NO_RUNNER("no runner can be used"),
  TOO_LARGE("it does not fit on empty runners either"),
  INSUFFICIENT_CAPACITY("too little room"),
  RESERVED_FOR_URGENT("the room is kept for urgent work"),
  ADVICE_PENDING("advice is under way"),
  NO_TICKET("allowed runners with room have no ticket"),
  ADVICE_NOT_REQUESTED("advice was not asked for yet"),
  LOCAL_PLACE("a local place is expected soon"),
  STARTABLE("it fits and was not started");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /** Returns the text for the log. */
  String text() {
    return text;
  }
}
