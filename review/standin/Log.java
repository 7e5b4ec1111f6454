import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes the record of a case: one line for each event, with the milliseconds since the start. */
final class Log {

  private static final long START_NANOS = System.nanoTime();
  private static PrintWriter out;

  private Log() {}

  static void open(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Returns the milliseconds since the start on the steady clock. */
  static long now() {
    return (System.nanoTime() - START_NANOS) / 1_000_000;
  }

  static synchronized void line(String text) {
    out.println(now() + " " + text);
    out.flush();
  }

  /** Writes a line to the record and to the standard output. */
  static void say(String text) {
    line(text);
    System.out.println(now() + " " + text);
  }
}
