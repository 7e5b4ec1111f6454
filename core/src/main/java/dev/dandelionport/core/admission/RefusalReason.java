package dev.dandelionport.core.admission;

/** Reason for a refusal. The texts appear in the log; docs/OPERATIONS.md explains them. */
public enum RefusalReason {
  /** No runner of the pool has the size and the label. */
  NO_SUCH_RUNNER("no runner could run a task"),
  /** A gang needs more than the empty pool has. */
  GANG_TOO_LARGE("the pool is too small for the gang"),
  /** A task, or a gang as a whole, needs more than the account's quota. */
  QUOTA_TOO_SMALL("the account's quota is too small"),
  /** It would end too late even in the best case. */
  POOL_FULL("the pool is full for too long"),
  /** The same, because of work of the account that its quota holds back. */
  QUOTA_FULL("the account's quota is used for too long"),
  /** It would end too late only because its account is over its fair share. */
  OVER_SHARE("the account is over its share and the pool is full");

  private final String text;

  RefusalReason(String text) {
    this.text = text;
  }

  /** Returns the text for the log. */
  public String text() {
    return text;
  }

  /** Returns whether the reason is the amount of work of the caller's account. */
  public boolean isOverShare() {
    return this == OVER_SHARE;
  }
}
