package dev.dandelionport.core.port;

/** Thrown if the store no longer has the requested changes; the caller must list the keys again. */
public final class HistoryCompactedException extends RuntimeException {
  /** Creates the exception. */
  public HistoryCompactedException(String message) {
    super(message);
  }
}
