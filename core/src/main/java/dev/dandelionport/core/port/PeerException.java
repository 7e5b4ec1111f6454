package dev.dandelionport.core.port;

/** Thrown if a peer did not answer a message. */
public final class PeerException extends RuntimeException {

  private final boolean mayHaveBeenReceived;
  private final boolean processEnded;

  /**
   * Creates the exception; {@code mayHaveBeenReceived} is false only if the message was certainly
   * not sent.
   */
  public PeerException(String message, boolean mayHaveBeenReceived, Throwable cause) {
    this(message, mayHaveBeenReceived, false, cause);
  }

  private PeerException(
      String message, boolean mayHaveBeenReceived, boolean processEnded, Throwable cause) {
    super(message, cause);
    this.mayHaveBeenReceived = mayHaveBeenReceived;
    this.processEnded = processEnded;
  }

  /** Returns an exception for a peer whose process has certainly ended. */
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
