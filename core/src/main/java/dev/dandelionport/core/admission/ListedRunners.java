package dev.dandelionport.core.admission;

import dev.dandelionport.core.admission.Feasibility.RunnerKind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Runners that the directory lists or listed a short time ago, for the question whether a step
 * could ever run. Runners that are withdrawn for a moment, or whose entries expire during an outage
 * of the store, therefore do not make a step impossible.
 */
public final class ListedRunners {

  /** Time for which a runner counts after it is no longer listed, in milliseconds. */
  private static final long KEEP_MILLIS = 60_000;

  /** A runner that the directory lists. */
  public record Listed(String id, String service, RunnerKind kind) {}

  private final Map<String, Listed> runners = new HashMap<>();

  /** Time until which runners that are no longer listed count, by id. */
  private final Map<String, Long> keepUntilMillis = new HashMap<>();

  private final Map<String, List<RunnerKind>> kindsByService = new HashMap<>();

  /** Replaces the list of the directory. */
  public void update(List<Listed> list, long now) {
    Set<String> unlisted = new HashSet<>(runners.keySet());
    for (Listed l : list) {
      runners.put(l.id, l);
      unlisted.remove(l.id);
    }
    keepUntilMillis.keySet().retainAll(unlisted);
    for (String id : unlisted) {
      if (keepUntilMillis.computeIfAbsent(id, k -> now + KEEP_MILLIS) < now) {
        runners.remove(id);
        keepUntilMillis.remove(id);
      }
    }
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
