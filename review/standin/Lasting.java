import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * A runner with tasks that last is lost while the service is full. The tasks must run again on
 * other runners, on which there is room for them.
 */
final class Lasting {

  private static final int RUNNERS = 8;
  private static final int LASTING_TASKS = 4;
  private static final int LASTING_CPU = 1_500;
  private static final int LASTING_MEMORY_MB = 512;

  /** Other work: the jobs of the sheet's route-plan, more than 8 runners can do. */
  private static final int TASKS_PER_JOB = 10;

  private static final int CPU = 1_800;
  private static final int MEMORY_MB = 5_200;
  private static final long TASK_MILLIS = 3_400;
  private static final double JOBS_PER_S = 5;

  private static final long CRASH_MILLIS = 15_000;
  private static final long TRAFFIC_MILLIS = 35_000;

  /** Time after its last run from which a task that lasts may not wait for 3 s. */
  private static final long MAY_WAIT_MILLIS = 6_000;

  private static final long NOTHING_RUNS_MILLIS = 3_000;

  /** Calm time before these 3 s. */
  private static final long CALM_MILLIS = 4_000;

  private Lasting() {}

  static boolean run(boolean trouble) throws IOException, InterruptedException {
    Cell cell = new Cell(RUNNERS, 32_000, 131_072, 2);
    try {
      String id = cell.client.newId();
      String lasting = Cell.job(1, LASTING_TASKS, LASTING_CPU, LASTING_MEMORY_MB, -1, 100);
      if (cell.client.submit(id, lasting).join() != 200) {
        throw new IOException("the lasting job was not accepted");
      }
      String body = Cell.job(1, TASKS_PER_JOB, CPU, MEMORY_MB, TASK_MILLIS, 1_200);
      long start = Log.now();
      long crashed = Long.MAX_VALUE / 2;
      Runner lost = null;
      double due = start;
      int jobs = 0;
      Map<Integer, Long> roomSince = new HashMap<>();
      boolean broken = false;
      while (Log.now() < start + TRAFFIC_MILLIS) {
        Thread.sleep(20);
        for (; due <= Log.now(); due += 1_000 / JOBS_PER_S) {
          cell.client.submit(cell.client.newId(), body);
          jobs++;
        }
        if (trouble && lost == null && Log.now() > start + CRASH_MILLIS) {
          lost = runnerOf(id);
          crashed = Log.now();
          Log.say("runner " + lost.id + " crashes with " + runsOn(lost, id) + " lasting tasks");
          lost.crash();
        }
        if (lost != null && Log.now() > crashed + Runner.LAPSE_MILLIS) {
          cell.store.remove("servers/" + lost.id);
        }
        broken |= check(cell, id, crashed, roomSince);
      }
      Log.say(jobs + " other jobs sent, " + cell.client.accepted.size() + " jobs accepted");
      for (int i = 0; i < LASTING_TASKS; i++) {
        Runner.Run last = Cell.lastRun(id + ".0.0." + i);
        Log.say(
            last == null
                ? "lasting task " + i + " never ran"
                : "lasting task %d: run %d started at %d, %s"
                    .formatted(
                        i,
                        last.number,
                        last.startedMillis,
                        last.endedMillis < 0
                            ? "still runs"
                            : last.how + " at " + last.endedMillis + ", none since"));
      }
      return !broken;
    } finally {
      cell.close();
    }
  }

  /**
   * LOST for tasks that last: from 6 s after its last run, a task has nothing running for 3 s though
   * there is room for it twice over on a runner, and these and the 4 s before them are calm.
   */
  private static boolean check(Cell cell, String id, long crashed, Map<Integer, Long> roomSince) {
    boolean room =
        cell.runners.stream()
            .anyMatch(
                r ->
                    r.freeCpu() >= 2 * LASTING_CPU && r.freeMemoryMb() >= 2 * LASTING_MEMORY_MB);
    boolean broken = false;
    for (int i = 0; i < LASTING_TASKS; i++) {
      Runner.Run last = Cell.lastRun(id + ".0.0." + i);
      boolean waits =
          last != null
              && last.endedMillis >= 0
              && Log.now() >= last.endedMillis + MAY_WAIT_MILLIS
              && Log.now() >= crashed + CALM_MILLIS;
      if (!waits || !room) {
        roomSince.remove(i);
        continue;
      }
      long since = roomSince.computeIfAbsent(i, k -> Log.now());
      if (Log.now() - since >= NOTHING_RUNS_MILLIS) {
        broken = true;
        Log.line("LOST lasting task " + i + ": nothing runs since " + last.endedMillis);
      }
    }
    return broken;
  }

  private static int runsOn(Runner runner, String id) {
    synchronized (Runner.ALL) {
      return (int)
          Runner.ALL.stream()
              .filter(r -> r.runner == runner && r.task.startsWith(id) && r.endedMillis < 0)
              .count();
    }
  }

  /** Returns the runner of the first task. */
  private static Runner runnerOf(String id) throws IOException {
    Runner.Run last = Cell.lastRun(id + ".0.0.0");
    if (last == null || last.endedMillis >= 0) {
      throw new IOException("the lasting task does not run");
    }
    return last.runner;
  }
}
