package dev.dandelionport.core.port;

/** Thrown if a worker did not answer; it is unknown whether the call took effect. */
public final class WorkerException extends RuntimeException {
  /** Creates the exception. */
  public WorkerException(String message, Throwable cause) {
    super(message, cause);
  }
}
