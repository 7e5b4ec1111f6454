package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.share.ShareLedger;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Limits, permits, running attempts and shares of all teams. */
final class Teams {
  final ShareLedger<TeamId> shares = new ShareLedger<>();
  private final Map<TeamId, TeamUsage> usages = new TreeMap<>();

  TeamUsage of(TeamId id) {
    return usages.computeIfAbsent(id, k -> new TeamUsage());
  }

  Map<TeamId, TeamUsage> all() {
    return usages;
  }

  void setManifest(Manifest m) {
    usages.values().forEach(u -> u.limit = 0);
    Map<TeamId, Double> weights = new HashMap<>();
    for (Team t : m.teams()) {
      TeamId id = new TeamId(t.id());
      of(id).limit = t.limit();
      weights.put(id, t.share());
    }
    shares.setWeights(weights);
  }

  void setPermits(Map<TeamId, Integer> permits) {
    usages.values().forEach(u -> u.permits = 0);
    permits.forEach((id, n) -> of(id).permits = n);
  }

  /** Returns whether the team may start one more task that is not part of a reserved gang. */
  boolean mayStart(TeamId id) {
    TeamUsage u = of(id);
    return u.running + u.reserved < u.maxRunning();
  }

  /** Returns whether the team may start one more urgent task. */
  boolean mayStartUrgent(TeamId id) {
    TeamUsage u = of(id);
    return u.running < u.maxRunning();
  }
}
