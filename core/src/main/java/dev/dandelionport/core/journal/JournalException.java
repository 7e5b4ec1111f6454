package dev.dandelionport.core.journal;

/** Thrown if a journal value cannot be encoded or decoded, or if a batch is missing. */
public final class JournalException extends RuntimeException {
  /** Creates the exception. */
  public JournalException(String message, Throwable cause) {
    super(message, cause);
  }
}
