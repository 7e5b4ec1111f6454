package dev.dandelionport.core.port;

/** Thrown if the platform's instance list cannot be read. */
public final class InstanceListException extends RuntimeException {
  /** Creates the exception. */
  public InstanceListException(String message, Throwable cause) {
    super(message, cause);
  }
}
