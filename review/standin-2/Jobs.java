package review2;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The jobs that the clients send, and what the runners saw of them. */
final class Jobs {

  record Size(long cpu, long memMb) {}

  /** What the runners saw of one job. */
  static final class Seen {
    volatile int running;
    volatile int done;
    volatile int starts;
    volatile long lastChangeMillis = Http.now();
  }

  private final Map<String, Size> sizes = new ConcurrentHashMap<>();
  private final Map<String, Seen> seen = new ConcurrentHashMap<>();

  void add(String id, Size taskSize) {
    sizes.put(id, taskSize);
    seen.put(id, new Seen());
  }

  private static String idOf(String task) {
    return task.substring(0, task.indexOf('.'));
  }

  Size sizeOf(String task) {
    return sizes.getOrDefault(idOf(task), new Size(0, 0));
  }

  Seen seen(String id) {
    return seen.get(id);
  }

  void started(String task) {
    Seen s = seen.get(idOf(task));
    if (s != null) {
      synchronized (s) {
        s.running++;
        s.starts++;
        s.lastChangeMillis = Http.now();
      }
    }
  }

  void ended(String task, String how) {
    Seen s = seen.get(idOf(task));
    if (s != null) {
      synchronized (s) {
        s.running--;
        s.done += how.equals("done") ? 1 : 0;
        s.lastChangeMillis = Http.now();
      }
    }
  }
}
