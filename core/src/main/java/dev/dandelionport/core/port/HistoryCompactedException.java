package dev.dandelionport.core.port;

/** The store no longer has the changes that were asked for; the keys must be listed anew. */
public final class HistoryCompactedException extends RuntimeException {
  /** Creates the exception. */
  public HistoryCompactedException(String message) {
    super(message);
  }
}
