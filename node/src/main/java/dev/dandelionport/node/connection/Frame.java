package dev.dandelionport.node.connection;

import dev.dandelionport.core.message.PeerMessage;

/**
 * Content of one frame between instances.
 *
 * @param id number of the call, chosen by the caller and repeated in the answer
 * @param kind purpose of the frame
 * @param message the message; null except for {@link Kind#CALL} and {@link Kind#ANSWER}
 * @param hello identity of the sender; null except for {@link Kind#HELLO}
 */
record Frame(long id, Kind kind, PeerMessage message, Hello hello) {

  /** Protocol version; connections between instances with different versions are closed. */
  static final int PROTOCOL_VERSION = 2;

  enum Kind {
    /** First frame in each direction. */
    HELLO,
    PING,
    PONG,
    CALL,
    ANSWER,
    /** Response to a call that was rejected unprocessed and has no effect. */
    REFUSED,
    /** Response to a call that failed; its effect is unknown. */
    FAILED
  }

  /** Identifies an instance at the start of a connection. */
  record Hello(int protocolVersion, String cell, String instance) {
    boolean isCompatibleWith(Hello other) {
      return other != null
          && protocolVersion == other.protocolVersion
          && cell.equals(other.cell)
          && other.instance != null;
    }
  }

  static Frame of(long id, Kind kind) {
    return new Frame(id, kind, null, null);
  }

  static Frame hello(Hello hello) {
    return new Frame(0, Kind.HELLO, null, hello);
  }
}
