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

/**
 * Samples resource use and the deviation of teams from their shares. Independent of the scheduler,
 * so that figures of different schedulers are comparable.
 */
final class ShareSampler {
  private final ShareLedger<TeamId> ledger = new ShareLedger<>();
  private final ResourceVector capacity;
  private final Map<JobKey, Integer> waiting = new HashMap<>();
  private final Map<TeamId, Integer> waitingByTeam = new TreeMap<>();
  private final Map<TeamId, Double> deviationSums = new TreeMap<>();
  private ResourceVector used = ResourceVector.ZERO;
  private double packingSum;
  private int samples;

  ShareSampler(Scenario scenario) {
    ResourceVector total = ResourceVector.ZERO;
    for (WorkerInfo w : scenario.fleet()) {
      total = total.plus(w.capacity());
    }
    capacity = total;
    ledger.setCapacity(total);
    Map<TeamId, Double> weights = new HashMap<>();
    for (Team t : scenario.manifest().teams()) {
      weights.put(new TeamId(t.id()), t.share());
    }
    ledger.setWeights(weights);
  }

  void addWaiting(JobSpec s, int tasks) {
    waiting.merge(s.key(), tasks, Integer::sum);
    waitingByTeam.merge(s.key().team(), tasks, Integer::sum);
  }

  void recordStart(JobSpec s) {
    addWaiting(s, -1);
    ledger.add(s.key().team(), s.taskSize());
    used = used.plus(s.taskSize());
  }

  void recordEnd(JobSpec s, boolean requeued) {
    ledger.remove(s.key().team(), s.taskSize());
    used = used.minus(s.taskSize());
    if (requeued) {
      addWaiting(s, 1);
    }
  }

  /** Removes the waiting tasks of a job that has ended. */
  void removeJob(JobKey job) {
    Integer waitingTasks = waiting.remove(job);
    if (waitingTasks != null) {
      waitingByTeam.merge(job.team(), -waitingTasks, Integer::sum);
    }
  }

  /** Adds the current resource use and the deviations of teams with waiting tasks. */
  void sample() {
    Set<TeamId> waitingTeams = new TreeSet<>();
    waitingByTeam.forEach(
        (t, n) -> {
          if (n > 0) {
            waitingTeams.add(t);
          }
        });
    ledger.deviations(waitingTeams).forEach((t, d) -> deviationSums.merge(t, d, Double::sum));
    packingSum += used.dominantShareOf(capacity);
    samples++;
  }

  Set<TeamId> teams() {
    return deviationSums.keySet();
  }

  /** Stores the means over all samples, and the deviation of the worst team. */
  void writeTo(Measurements m) {
    int n = Math.max(1, samples);
    m.packing = packingSum / n;
    double sum = 0;
    for (double d : deviationSums.values()) {
      m.worstShareDeviation = Math.max(m.worstShareDeviation, Math.abs(d / n));
      sum += Math.abs(d / n);
    }
    m.meanShareDeviation = sum / Math.max(1, deviationSums.size());
  }
}
