package dev.dandelionport.node.connection;

import java.io.IOException;

/** Thrown when a message exceeds the frame limit; nothing was sent. */
final class FrameTooLargeException extends IOException {
  private static final long serialVersionUID = 1L;

  FrameTooLargeException(int bytes) {
    super(
        "message of " + bytes + " bytes exceeds the frame limit of " + FrameCodec.MAX_FRAME_BYTES);
  }
}
