package dev.dandelionport.node.connection;

/** Thrown when certificates or private keys cannot be read. */
public final class TlsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** Creates the exception. */
  public TlsException(String message, Throwable cause) {
    super(message, cause);
  }
}
