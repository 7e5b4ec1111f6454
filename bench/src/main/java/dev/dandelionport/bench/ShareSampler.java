package dev.dandelionport.bench;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.share.ShareLedger;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/** Samples packing and the distance of teams from their shares, the same way for all contenders. */
final class ShareSampler {
  private final ShareLedger ledger = new ShareLedger();
  private final ResourceVector capacity;
  private final Map<JobKey, Integer> waiting = new HashMap<>();
  private final Map<TeamId, Integer> waitingOfTeam = new TreeMap<>();
  private final Map<TeamId, Double> sums = new TreeMap<>();
  private ResourceVector used = ResourceVector.ZERO;
  private double packing;
  private int samples;

  ShareSampler(Scenario scenario) {
    ResourceVector all = ResourceVector.ZERO;
    for (WorkerInfo w : scenario.fleet()) {
      all = all.plus(w.capacity());
    }
    capacity = all;
    ledger.setCapacity(all);
    Map<TeamId, Double> weights = new HashMap<>();
    for (Team t : scenario.manifest().teams()) {
      weights.put(new TeamId(t.id()), t.share());
    }
    ledger.setWeights(weights);
  }

  void waits(JobSpec s, int tasks) {
    waiting.merge(s.key(), tasks, Integer::sum);
    waitingOfTeam.merge(s.key().team(), tasks, Integer::sum);
  }

  void starts(JobSpec s) {
    waits(s, -1);
    ledger.add(s.key().team(), s.taskSize());
    used = used.plus(s.taskSize());
  }

  void ends(JobSpec s, boolean again) {
    ledger.remove(s.key().team(), s.taskSize());
    used = used.minus(s.taskSize());
    if (again) {
      waits(s, 1);
    }
  }

  void gone(JobKey job) {
    Integer n = waiting.remove(job);
    if (n != null) {
      waitingOfTeam.merge(job.team(), -n, Integer::sum);
    }
  }

  void sample() {
    Set<TeamId> want = new TreeSet<>();
    waitingOfTeam.forEach(
        (t, n) -> {
          if (n > 0) {
            want.add(t);
          }
        });
    ledger.deviations(want).forEach((t, d) -> sums.merge(t, d, Double::sum));
    packing += used.dominantShareOf(capacity);
    samples++;
  }

  Set<TeamId> teams() {
    return sums.keySet();
  }

  void finish(Measurements m) {
    int n = Math.max(1, samples);
    m.packing = packing / n;
    double sum = 0;
    for (double d : sums.values()) {
      m.worstShareDeviation = Math.max(m.worstShareDeviation, Math.abs(d / n));
      sum += Math.abs(d / n);
    }
    m.meanShareDeviation = sum / Math.max(1, sums.size());
  }
}
