package dev.dandelionport.core.common;

import java.util.Locale;

/**
 * Conditions that raise an alert for operators; docs/OPERATIONS.md describes how to respond to
 * each.
 */
public enum AlertCode {
  /** Attempts on a worker keep failing, so the worker gets no new work. */
  WORKER_FAILS,
  /** An attempt succeeded on a worker that had been held back. */
  WORKER_RECOVERED,
  /** A call to a port failed with an exception that its interface does not declare. */
  CALL_FAILED,
  /** A journal value cannot be decoded, or a batch is missing; the partition is not served. */
  JOURNAL_UNREADABLE,
  /** A value of the control state cannot be decoded; the last valid value remains in use. */
  CONTROL_VALUE_UNREADABLE,
  /**
   * The store contained an older manifest than the newest known version; the newer one was written
   * back.
   */
  MANIFEST_RESTORED;

  /** Returns the code in lower case, as it appears in the log and in metrics. */
  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
