package dev.dandelionport.core.workflow;

/** What keeps a step from starting, as docs/OPERATIONS.md explains it. */
enum WaitReason {
  NO_QUEUE("its queue is not configured"),
  EARLIER_RUN("members of its gang's earlier run have not ended"),
  RETRY("it failed and is tried again later"),
  CEILING("its account is at its ceiling"),
  NOT_REACHED("the pass ended before it"),
  NO_RUNNER("no runner can be used"),
  TOO_LARGE("it does not fit on empty runners either"),
  NO_ROOM("too little room"),
  KEPT_ROOM("the room is kept for urgent work"),
  ASKING("advice is under way"),
  NO_TICKET("allowed runners with room have no ticket"),
  NOT_ASKED("advice was not asked for yet"),
  FITS("it fits and was not started");

  private final String text;

  WaitReason(String text) {
    this.text = text;
  }

  /** Returns what the log says. */
  String text() {
    return text;
  }
}
