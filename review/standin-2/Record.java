package review2;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Writes record.txt: what was sent, answered and run, with the time since the start. */
final class Record {

  private final PrintWriter out;
  private final long start = Http.now();
  private final List<String> broken = new ArrayList<>();

  Record(Path file) throws Exception {
    out = new PrintWriter(file.toFile(), "UTF-8");
  }

  synchronized void line(String who, String text) {
    out.printf("%8.3f %-10s %s%n", (Http.now() - start) / 1000.0, who, text);
    out.flush();
  }

  synchronized void broken(String text) {
    broken.add(text);
    line("RULE", text);
  }

  synchronized int brokenCount() {
    return broken.size();
  }
}
