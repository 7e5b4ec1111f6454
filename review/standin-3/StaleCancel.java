package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * The store turns the leader's machine away for three seconds. Meanwhile clients hand in jobs at
 * another machine and cancel them at that one. Rule UNASKED: no task of a job starts later than
 * cancel_ms after its cancelling was acknowledged.
 */
final class StaleCancel {

  private static final long OUTAGE_MILLIS = 3_000;
  private static final long JOB_INTERVAL_MILLIS = 60;
  private static final int JOBS = 50;
  private static final String JOB =
      "{\"spec\":\"3000\",\"steps\":["
          + "{\"count\":1,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":3000},"
          + "{\"count\":1,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":3000,\"after\":[0]},"
          + "{\"count\":1,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":3000,\"after\":[1]},"
          + "{\"count\":1,\"cpu\":500,\"mem-mb\":256,\"estimate-ms\":3000,\"after\":[2]}]}";

  private StaleCancel() {}

  public static void main(String[] args) throws Exception {
    int result = 2;
    try (Cell cell = new Cell(Path.of(args[0]))) {
      result = play(cell);
      cell.recorder.line("result " + result);
    } catch (IOException e) {
      e.printStackTrace();
    }
    System.exit(result);
  }

  private static int play(Cell cell) throws Exception {
    cell.start(3, 6);
    int leader = cell.store.lastConditionalWriter();
    if (leader < 0) {
      return 2;
    }
    Cell.Instance at = cell.instances.get(leader);
    cell.recorder.line("the leader is " + at.name);
    Map<String, Long> cancelled = new ConcurrentHashMap<>();
    ExecutorService clients = Executors.newFixedThreadPool(JOBS);
    long begin = cell.recorder.now();
    long outageEnd = begin + OUTAGE_MILLIS;
    if (Cell.hasTrouble()) {
      cell.store.setMode(leader, Store.Mode.MANY);
      cell.recorder.line("the store answers 429 to " + at.name);
    }
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("%016x", 0x5a0000L + i);
      Cell.Instance other = cell.instances.get((leader + 1 + i % 2) % 3);
      clients.submit(() -> handInAndCancel(cell, id, other, at, cancelled));
      Thread.sleep(Math.max(0, begin + (i + 1) * JOB_INTERVAL_MILLIS - cell.recorder.now()));
    }
    cell.store.setMode(leader, Store.Mode.SERVES);
    cell.recorder.line("the store serves all machines");
    clients.shutdown();
    clients.awaitTermination(10, TimeUnit.SECONDS);
    Thread.sleep(Math.max(0, outageEnd + 14_000 - cell.recorder.now()));
    return check(cell, cancelled, outageEnd);
  }

  private static void handInAndCancel(
      Cell cell,
      String id,
      Cell.Instance other,
      Cell.Instance leader,
      Map<String, Long> cancelled) {
    if (cell.call(other, "POST", id, JOB, 3_000) != 200) {
      return;
    }
    int status = cell.call(leader, "DELETE", id, "", 3_000);
    for (int i = 0; i < 3 && status != 200 && status != 410; i++) {
      status = cell.call(other, "DELETE", id, "", 3_000);
    }
    if (status == 200 || status == 410) {
      cancelled.put(id, cell.recorder.now());
    }
  }

  /** Returns 1 if a task started too late, sent by a machine in touch while the core was stable. */
  private static int check(Cell cell, Map<String, Long> cancelled, long outageEnd) {
    List<String> broken = new ArrayList<>();
    for (Runner.Run r : cell.runs) {
      Long at = cancelled.get(r.task.substring(0, 16));
      boolean calm = !Cell.hasTrouble() || r.startMillis > outageEnd + Cell.CONTACT_MILLIS;
      if (at != null && calm && r.startMillis > at + Cell.CANCEL_MILLIS) {
        broken.add(r.task + " started " + (r.startMillis - at) + " ms after its cancelling");
      }
    }
    broken.forEach(b -> cell.recorder.line("UNASKED: " + b));
    cell.recorder.line(cancelled.size() + " jobs cancelled, " + broken.size() + " late starts");
    if (cancelled.isEmpty()) {
      return 2;
    }
    return broken.isEmpty() ? 0 : 1;
  }
}
