package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run to record.txt, each line with seconds since the start. */
final class Recorder implements AutoCloseable {

  private final long startNanos = System.nanoTime();
  private final PrintWriter out;

  Recorder(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Returns milliseconds since the start. */
  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f %s", now() / 1000.0, text));
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
