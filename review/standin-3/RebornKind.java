package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Runners crash and start again under the id that they had, as another kind. Meanwhile clients hand
 * in jobs whose tasks require a kind. Rule ROUTE: no start on a runner without the required label.
 */
final class RebornKind {

  private static final int CRASHES = 20;
  /** Times for which a runner is down: from the least up, in steps. */
  private static final long MIN_DOWN_MILLIS = 900;

  private static final long DOWN_STEP_MILLIS = 170;
  private static final long DOWN_RANGE_MILLIS = 2_000;


  /** Time from the start of a runner to its first write to the store. */
  private static final long REGISTERS_AFTER_MILLIS = 250;

  private static final long INTERVAL_MILLIS = 4_200;
  private static final long JOB_INTERVAL_MILLIS = 60;

  private RebornKind() {}

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
    cell.start(3, 4);
    long end = cell.recorder.now() + CRASHES * INTERVAL_MILLIS;
    Thread clients = new Thread(() -> handIn(cell, end));
    clients.start();
    for (int i = 0; i < CRASHES; i++) {
      Runner r = cell.runners.get(i % cell.runners.size());
      long next = cell.recorder.now() + INTERVAL_MILLIS;
      if (Cell.hasTrouble()) {
        r.kill();
        Thread.sleep(MIN_DOWN_MILLIS + i * DOWN_STEP_MILLIS % DOWN_RANGE_MILLIS);
        r.start(r.kind().equals("a") ? "b" : "a", REGISTERS_AFTER_MILLIS);
      }
      Thread.sleep(Math.max(0, next - cell.recorder.now()));
    }
    clients.join();
    return check(cell);
  }

  private static void handIn(Cell cell, long end) {
    int n = 0;
    try {
      while (cell.recorder.now() < end) {
        String label = n % 2 == 0 ? "a" : "b";
        // The id tells the required label.
        String id = String.format("%015x", 0x5b0000L + n) + label;
        String job =
            "{\"spec\":\"300\",\"steps\":[{\"count\":2,\"cpu\":2000,\"mem-mb\":1024,"
                + "\"estimate-ms\":300,\"required-label\":\""
                + label
                + "\"}]}";
        Cell.Instance in = cell.instances.get(n % 3);
        new Thread(() -> cell.call(in, "POST", id, job, 3_000)).start();
        n++;
        Thread.sleep(JOB_INTERVAL_MILLIS);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static int check(Cell cell) {
    List<String> broken = new ArrayList<>();
    for (Runner.Run r : cell.runs) {
      String label = r.task.substring(15, 16);
      if (!r.kind.equals(label)) {
        broken.add(r.task + " requires " + label + " and started on a runner of kind " + r.kind);
      }
    }
    broken.forEach(b -> cell.recorder.line("ROUTE: " + b));
    cell.recorder.line(cell.runs.size() + " starts, " + broken.size() + " on another kind");
    return cell.runs.isEmpty() ? 2 : broken.isEmpty() ? 0 : 1;
  }
}
