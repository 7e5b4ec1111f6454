import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * All nodes are killed at once and start again. Meanwhile more than 500 tasks end on each runner,
 * which lists 500 of the ends in an answer; none of the tasks may run again.
 */
final class ManyEnds {

  private static final int JOBS = 31;
  private static final int TASKS_PER_JOB = 60;
  private static final int TASKS = JOBS * TASKS_PER_JOB;
  private static final long TASK_MILLIS = 5_000;
  private static final long KILL_AFTER_MILLIS = 4_700;
  private static final long DOWN_MILLIS = 1_000;

  private ManyEnds() {}

  static boolean run(boolean trouble) throws IOException, InterruptedException {
    Cell cell = new Cell(3, 32_000, 131_072, 0);
    try {
      String body = Cell.job(1, TASKS_PER_JOB, 50, 64, TASK_MILLIS, 100);
      List<CompletableFuture<Integer>> answers = new ArrayList<>();
      for (int i = 0; i < JOBS; i++) {
        answers.add(cell.client.submit(cell.client.newId(), body));
      }
      for (CompletableFuture<Integer> a : answers) {
        if (a.join() != 200) {
          throw new IOException("a job was answered with " + a.join());
        }
      }
      long submitted = Log.now();
      while (cell.running() < TASKS && Log.now() < submitted + TASK_MILLIS) {
        Thread.sleep(20);
      }
      Log.say("running: " + cell.running() + " of " + TASKS + " tasks");
      Thread.sleep(Math.max(0, submitted + KILL_AFTER_MILLIS - Log.now()));
      if (trouble) {
        for (Node n : cell.nodes) {
          n.signal("KILL");
        }
        Thread.sleep(DOWN_MILLIS);
        for (Node n : cell.nodes) {
          n.start();
        }
      }
      long deadline = Log.now() + 40_000;
      for (String id : cell.client.accepted.keySet()) {
        String state = "";
        while (!state.equals("completed") && Log.now() < deadline) {
          Thread.sleep(50);
          state = cell.client.state(id);
        }
        if (!state.equals("completed")) {
          Log.say("job " + id + " is shown as '" + state + "'");
        }
      }
      Thread.sleep(2_000);
      int broken = Cell.countTwice();
      Log.say("tasks that ran twice: " + broken + " of " + TASKS);
      return broken == 0;
    } finally {
      cell.close();
    }
  }
}
