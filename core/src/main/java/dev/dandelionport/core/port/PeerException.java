package dev.dandelionport.core.port;

/** A peer did not answer. */
public final class PeerException extends RuntimeException {

  private final boolean sent;
  private final boolean ended;

  /** Creates the exception; {@code sent} is false only if the message certainly did not leave. */
  public PeerException(String message, boolean sent, Throwable cause) {
    this(message, sent, false, cause);
  }

  private PeerException(String message, boolean sent, boolean ended, Throwable cause) {
    super(message, cause);
    this.sent = sent;
    this.ended = ended;
  }

  /** Returns a failure that shows that the process of the peer has ended. */
  public static PeerException processEnded(String message, Throwable cause) {
    return new PeerException(message, false, true, cause);
  }

  /** Returns whether the process of the peer has certainly ended. */
  public boolean isProcessEnded() {
    return ended;
  }

  /** Returns whether the peer may have received the message. */
  public boolean mayHaveBeenReceived() {
    return sent;
  }
}
