package dev.dandelionport.core.port;

/** A peer did not answer. */
public final class PeerException extends RuntimeException {

  private final boolean mayHaveBeenReceived;
  private final boolean processEnded;

  /** Creates the exception; {@code sent} is false only if the message certainly did not leave. */
  public PeerException(String message, boolean mayHaveBeenReceived, Throwable cause) {
    this(message, mayHaveBeenReceived, false, cause);
  }

  private PeerException(
      String message, boolean mayHaveBeenReceived, boolean processEnded, Throwable cause) {
    super(message, cause);
    this.mayHaveBeenReceived = mayHaveBeenReceived;
    this.processEnded = processEnded;
  }

  /** Returns a failure that shows that the process of the peer has ended. */
  public static PeerException processEnded(String message, Throwable cause) {
    return new PeerException(message, false, true, cause);
  }

  /** Returns whether the process of the peer has certainly ended. */
  public boolean isProcessEnded() {
    return processEnded;
  }

  /** Returns whether the peer may have received the message. */
  public boolean mayHaveBeenReceived() {
    return mayHaveBeenReceived;
  }
}
