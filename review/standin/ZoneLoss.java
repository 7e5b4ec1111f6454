import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * The zone of the owner loses power, and with it the runners of the tasks that last. All is back
 * within 1.5 s, the runners as new ones. The tasks must run again in time.
 */
final class ZoneLoss {

  private static final int RUNNERS = 6;
  private static final int ZONES = 3;
  private static final int LASTING_TASKS = 4;
  private static final int LASTING_CPU = 1_500;
  private static final int LASTING_MEMORY_MB = 512;
  private static final long DARK_MILLIS = 1_500;

  /** Time after its last run from which a task that lasts may not wait for 3 s. */
  private static final long MAY_WAIT_MILLIS = 6_000;

  private static final long NOTHING_RUNS_MILLIS = 3_000;
  private static final long OBSERVED_MILLIS = 16_000;

  private ZoneLoss() {}

  static boolean run(boolean trouble) throws IOException, InterruptedException {
    Cell cell = new Cell(RUNNERS, 32_000, 131_072, 1);
    try {
      Node owner = cell.owner();
      int zone = owner.zone();
      String id = cell.client.newId();
      ObjectNode job =
          (ObjectNode)
              Http.JSON.readTree(
                  Cell.job(1, LASTING_TASKS, LASTING_CPU, LASTING_MEMORY_MB, -1, 100));
      ((ObjectNode) job.path("steps").get(0)).put("required-label", "r1-" + zone);
      if (cell.client.submit(id, job.toString()).join() != 200) {
        throw new IOException("the lasting job was not accepted");
      }
      Thread.sleep(6_000);
      long start = Log.now();
      if (trouble) {
        losePower(cell, owner, zone);
      }
      Thread.sleep(start + OBSERVED_MILLIS - Log.now());
      boolean broken = false;
      for (int i = 0; i < LASTING_TASKS; i++) {
        broken |= isLate(id + ".0.0." + i);
      }
      return !broken;
    } finally {
      cell.close();
    }
  }

  private static void losePower(Cell cell, Node owner, int zone)
      throws IOException, InterruptedException {
    Log.say("zone " + zone + " loses power");
    owner.signal("STOP");
    List<Runner> lost = new ArrayList<>();
    for (int i = zone; i < RUNNERS; i += ZONES) {
      lost.add(cell.runners.get(i));
    }
    lost.forEach(Runner::losePower);
    Thread.sleep(DARK_MILLIS);
    owner.signal("KILL");
    owner.start();
    for (Runner r : lost) {
      r.http.stop();
      cell.runners.add(
          new Runner(cell.store, r.id + "-new", r.cpu, 131_072, "nw-" + (char) ('a' + zone), "r1-" + zone));
    }
    Log.say("zone " + zone + " is back");
    Thread.sleep(Runner.LAPSE_MILLIS - DARK_MILLIS);
    lost.forEach(r -> cell.store.remove("servers/" + r.id));
  }

  /**
   * LOST for tasks that last: from 6 s after its last run, a task has nothing running for 3 s. The
   * zone is back 7.5 s before the end of these, and the new runners are empty.
   */
  private static boolean isLate(String task) {
    List<Runner.Run> runs = new ArrayList<>();
    synchronized (Runner.ALL) {
      for (Runner.Run r : Runner.ALL) {
        if (r.task.equals(task)) {
          runs.add(r);
        }
      }
    }
    boolean late = runs.isEmpty();
    for (int i = 0; i < runs.size(); i++) {
      long ended = runs.get(i).endedMillis;
      long next = i + 1 < runs.size() ? runs.get(i + 1).startedMillis : Log.now();
      if (ended >= 0) {
        Log.say(
            "%s: run %d ended at %d (%s), next start after %d ms"
                .formatted(task, runs.get(i).number, ended, runs.get(i).how, next - ended));
        late |= next - ended > MAY_WAIT_MILLIS + NOTHING_RUNS_MILLIS;
      }
    }
    return late;
  }
}
