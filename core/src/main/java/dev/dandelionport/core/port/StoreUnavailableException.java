package dev.dandelionport.core.port;

/** Thrown if the store did not answer; it is unknown whether the call took effect. */
public final class StoreUnavailableException extends RuntimeException {
  /** Creates the exception. */
  public StoreUnavailableException(String message, Throwable cause) {
    super(message, cause);
  }
}
