import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The store is down for a while during a burst; afterwards the accepted jobs must go on.
 */
final class LargeBatch {

  /** Submissions a second: the sum of the sheet of brightwell-ops-grown. */
  private static final double JOBS_PER_S = 81.6;

  /** Burst that comes with the outage; it also comes without the disruption. */
  private static final double BURST = 2.3;

  private static final long BURST_MILLIS = 4_000;
  private static final long DOWN_FROM_MILLIS = 6_000;
  private static final long DOWN_FOR_MILLIS = 4_200;
  private static final long TRAFFIC_MILLIS = 18_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long NOTHING_RUNS_MILLIS = 3_000;
  private static final int SPEC_BYTES = 4_000;

  private LargeBatch() {}

  static boolean run(boolean trouble) throws IOException, InterruptedException {
    Cell cell = new Cell(6, 32_000, 131_072, 0);
    try {
      String body = Cell.job(2, 1, 500, 256, 300, SPEC_BYTES);
      long start = Log.now();
      Thread outage = new Thread(() -> takeDown(cell, start));
      if (trouble) {
        outage.start();
      }
      Map<String, Long> sent = new TreeMap<>();
      double due = start;
      while (due < start + TRAFFIC_MILLIS) {
        Thread.sleep(Math.max(0, (long) due - Log.now()));
        double sinceBurst = due - start - DOWN_FROM_MILLIS;
        boolean burst = sinceBurst >= 0 && sinceBurst < BURST_MILLIS;
        due += 1_000 / (burst ? BURST * JOBS_PER_S : JOBS_PER_S);
        String id = cell.client.newId();
        sent.put(id, Log.now());
        cell.client.submit(id, body);
      }
      Log.say("traffic ends: " + sent.size() + " jobs sent");
      Thread.sleep(FINISH_MILLIS);
      return judge(cell, sent, start);
    } finally {
      cell.close();
    }
  }

  private static void takeDown(Cell cell, long start) {
    try {
      Thread.sleep(Math.max(0, start + DOWN_FROM_MILLIS - Log.now()));
      Log.say("store: down");
      cell.store.setDown(true);
      Thread.sleep(DOWN_FOR_MILLIS);
      cell.store.setDown(false);
      Log.say("store: up");
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * LOST: an accepted job isn't known or gets no answer, or has nothing running for 3 s though a
   * task's turn has come and there is room (here the runners are empty).
   */
  private static boolean judge(Cell cell, Map<String, Long> sent, long start)
      throws InterruptedException {
    long acceptedLate =
        cell.client.accepted.values().stream()
            .filter(t -> t > start + DOWN_FROM_MILLIS + DOWN_FOR_MILLIS + 1_000)
            .count();
    Log.say(
        "accepted: %d of %d; later than 1 s after the time of the outage: %d"
            .formatted(cell.client.accepted.size(), sent.size(), acceptedLate));
    Map<String, Integer> states = new TreeMap<>();
    List<String> open = new ArrayList<>();
    for (String id : cell.client.accepted.keySet()) {
      String state = cell.client.state(id);
      states.merge(state.isEmpty() ? "no answer" : state, 1, Integer::sum);
      if (!state.equals("completed")) {
        Log.line("accepted job " + id + " is shown as '" + state + "'");
        open.add(id);
      }
    }
    Log.say("states of the accepted jobs 14 s after the traffic: " + states);
    if (open.isEmpty()) {
      return true;
    }
    long until = Log.now() + NOTHING_RUNS_MILLIS;
    int most = 0;
    while (Log.now() < until) {
      most = Math.max(most, cell.running());
      Thread.sleep(10);
    }
    Log.say("tasks running on the 6 runners in the next 3 s: at most " + most);
    int stillOpen = 0;
    for (String id : open) {
      stillOpen += cell.client.state(id).equals("completed") ? 0 : 1;
    }
    Log.say("accepted jobs that are not completed and of which nothing ran: " + stillOpen);
    return stillOpen == 0 || most > 0;
  }
}
