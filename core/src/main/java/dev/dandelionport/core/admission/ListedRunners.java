package dev.dandelionport.core.admission;

import dev.dandelionport.core.admission.Feasibility.RunnerKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Runners that the directory lists or listed a short time ago, for the question whether a step
 * could ever run. Runners that are withdrawn for a moment, or whose entries expire during an outage
 * of the store, therefore do not make a step impossible.
 */
public final class ListedRunners {

  /** Time for which a runner counts after it was last listed, in milliseconds. */
  private static final long KEEP_MILLIS = 60_000;

  private record Listed(String service, RunnerKind kind, long lastMillis) {}

  private final Map<String, Listed> runners = new HashMap<>();
  private final Map<String, List<RunnerKind>> kindsByService = new HashMap<>();

  /** Records that the directory lists a runner now. */
  public void add(String id, String service, RunnerKind kind, long now) {
    runners.put(id, new Listed(service, kind, now));
  }

  /** Removes runners that have not been listed for a while, after all listed ones were added. */
  public void update(long now) {
    runners.values().removeIf(l -> l.lastMillis + KEEP_MILLIS < now);
    kindsByService.clear();
    for (Listed l : runners.values()) {
      kindsByService.computeIfAbsent(l.service, k -> new ArrayList<>()).add(l.kind);
    }
  }

  /** Returns the runners of a service. */
  public List<RunnerKind> of(String service) {
    return kindsByService.getOrDefault(service, List.of());
  }
}
