package dev.dandelionport.node.connection;

import dev.dandelionport.core.message.PeerMessage;

/**
 * What one frame between instances contains.
 *
 * @param id number of the call, chosen by the caller and repeated in the answer
 * @param kind what the frame is for
 * @param message the message; null except for {@link Kind#CALL} and {@link Kind#ANSWER}
 * @param hello who is at the other end; null except for {@link Kind#HELLO}
 */
record Frame(long id, Kind kind, PeerMessage message, Hello hello) {

  /** Version of the protocol; instances with another version are refused. */
  static final int PROTOCOL_VERSION = 2;

  enum Kind {
    /** First frame in each direction. */
    HELLO,
    PING,
    PONG,
    CALL,
    ANSWER,
    /** Answer to a call that was not looked at and has no effect. */
    REFUSED,
    /** Answer to a call whose effect is not known. */
    FAILED
  }

  /** Introduces an instance. */
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
