package dev.dandelionport.core.workflow;

/**
 * Placements of steps that prefer a rack, since the last call.
 *
 * @param local tasks placed on the rack of their data, or with their gang on a single rack
 * @param remote tasks placed elsewhere
 * @param waits number of waits for a local placement that began
 * @param waitedMillis sum of the time that placed tasks had waited for one
 */
public record LocalityCounts(int local, int remote, int waits, long waitedMillis) {

  static final LocalityCounts NONE = new LocalityCounts(0, 0, 0, 0);

  LocalityCounts plus(LocalityCounts o) {
    return new LocalityCounts(
        local + o.local, remote + o.remote, waits + o.waits, waitedMillis + o.waitedMillis);
  }
}
