package dev.dandelionport.node.connection;

import io.netty.handler.codec.CorruptedFrameException;

/**
 * Checks that a body is one well-formed MessagePack value before it is decoded: lengths must stay
 * within the body and nesting is bounded. The decoder itself does not check lengths and allocates
 * as many bytes as they declare.
 */
final class FrameChecker {

  /** Maximum nesting depth; messages between instances nest about ten levels. */
  static final int MAX_DEPTH = 32;

  private static final int FIX_STR_MASK = 0x1f;
  private static final int FIX_COLLECTION_MASK = 0x0f;

  private final byte[] body;
  private int position;

  private FrameChecker(byte[] body) {
    this.body = body;
  }

  /** Throws {@link CorruptedFrameException} unless {@code body} is one well-formed value. */
  static void check(byte[] body) {
    FrameChecker c = new FrameChecker(body);
    c.checkValue();
    if (c.position != body.length) {
      throw new CorruptedFrameException(
          "frame has " + (body.length - c.position) + " trailing bytes after its value");
    }
  }

  /** Checks one value iteratively, so that deep nesting cannot overflow the stack. */
  private void checkValue() {
    long[] remaining = new long[MAX_DEPTH + 1];
    int depth = 0;
    remaining[0] = 1;
    while (depth >= 0) {
      if (remaining[depth] == 0) {
        depth--;
        continue;
      }
      remaining[depth]--;
      long children = readToken();
      if (children > 0) {
        if (depth == MAX_DEPTH) {
          throw new CorruptedFrameException("frame nests deeper than " + MAX_DEPTH);
        }
        depth++;
        remaining[depth] = children;
      }
    }
  }

  /** Reads one token and returns how many values it contains. */
  private long readToken() {
    int b = (int) readUnsigned(1);
    if (b <= 0x7f || b >= 0xe0) {
      return 0;
    } else if (b <= 0x8f) {
      return 2L * (b & FIX_COLLECTION_MASK);
    } else if (b <= 0x9f) {
      return b & FIX_COLLECTION_MASK;
    } else if (b <= 0xbf) {
      return skip(b & FIX_STR_MASK);
    }
    return switch (b) {
      case 0xc0, 0xc2, 0xc3 -> 0;
      case 0xc4, 0xd9 -> skip(readUnsigned(1));
      case 0xc5, 0xda -> skip(readUnsigned(2));
      case 0xc6, 0xdb -> skip(readUnsigned(4));
      case 0xcc, 0xd0 -> skip(1);
      case 0xcd, 0xd1 -> skip(2);
      case 0xca, 0xce, 0xd2 -> skip(4);
      case 0xcb, 0xcf, 0xd3 -> skip(8);
      case 0xdc -> readUnsigned(2);
      case 0xdd -> readUnsigned(4);
      case 0xde -> 2 * readUnsigned(2);
      case 0xdf -> 2 * readUnsigned(4);
      // Messages between instances contain neither extension types nor the unused code.
      default -> throw new CorruptedFrameException("frame has an unsupported token of type " + b);
    };
  }

  private long skip(long bytes) {
    if (bytes > body.length - position) {
      throw new CorruptedFrameException(
          "frame declares "
              + bytes
              + " bytes of content, "
              + (body.length - position)
              + " are left");
    }
    position += (int) bytes;
    return 0;
  }

  private long readUnsigned(int bytes) {
    int start = position;
    skip(bytes);
    long v = 0;
    for (int i = start; i < position; i++) {
      v = v << 8 | body[i] & 0xff;
    }
    return v;
  }
}
