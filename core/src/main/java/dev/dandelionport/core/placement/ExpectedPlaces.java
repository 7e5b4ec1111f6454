package dev.dandelionport.core.placement;

import dev.dandelionport.core.common.ResourceVector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Forecasts when places for tasks of one size become free on a group of runners, from the expected
 * ends of what runs there. Made for racks of up to a few dozen runners.
 */
public final class ExpectedPlaces {

  private ExpectedPlaces() {}

  /** Resources that are expected to be released at a time. */
  public record Release(long atMillis, ResourceVector size) {}

  /**
   * A runner.
   *
   * @param free resources that are free now
   * @param releases expected releases, in any order
   * @param maxTasks maximum number of further tasks
   */
  public record Node(ResourceVector free, List<Release> releases, int maxTasks) {}

  /**
   * Returns when each of the first {@code wanted} places is expected to be free, in order; fewer if
   * fewer are expected.
   */
  public static List<Long> freeMillis(
      List<Node> nodes, ResourceVector task, int wanted, long nowMillis) {
    List<Long> places = new ArrayList<>();
    nodes.forEach(n -> addPlaces(n, task, wanted, nowMillis, places));
    places.sort(null);
    return places.subList(0, Math.min(wanted, places.size()));
  }

  private static void addPlaces(
      Node n, ResourceVector task, int wanted, long nowMillis, List<Long> places) {
    int limit = Math.min(n.maxTasks(), wanted);
    int found = addUntil(task.countFittingIn(n.free()), 0, limit, nowMillis, places);
    ResourceVector free = n.free();
    List<Release> releases = new ArrayList<>(n.releases());
    releases.sort(Comparator.comparingLong(Release::atMillis));
    for (Release r : releases) {
      free = free.plus(r.size());
      found = addUntil(task.countFittingIn(free), found, limit, r.atMillis(), places);
    }
  }

  private static int addUntil(int fitting, int found, int limit, long millis, List<Long> places) {
    int n = found;
    for (; n < Math.min(fitting, limit); n++) {
      places.add(millis);
    }
    return n;
  }
}
