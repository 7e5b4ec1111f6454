package dev.dandelionport.core.journal;

/** Thrown if an owner opens a journal to which an owner with a newer epoch has written. */
public final class JournalFencedException extends RuntimeException {
  /** Creates the exception. */
  public JournalFencedException(String message) {
    super(message);
  }
}
