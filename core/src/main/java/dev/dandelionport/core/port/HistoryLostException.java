package dev.dandelionport.core.port;

/** The store no longer has the changes that were asked for; the keys must be listed anew. */
public final class HistoryLostException extends RuntimeException {
  /** Creates the exception. */
  public HistoryLostException(String message) {
    super(message);
  }
}
