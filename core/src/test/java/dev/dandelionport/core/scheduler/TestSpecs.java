package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Region;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.port.WorkerInfo;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

/** Creates requests, manifests and workers for tests. */
final class TestSpecs {
  static final long START_MILLIS = 1_000_000;
  static final ResourceVector ONE_SLOT = new ResourceVector(1, 1, 1_000, 1_000, 0);

  private TestSpecs() {}

  static JobSpec job(String team, String key, WorkloadClass c, int tasks, boolean repeatable) {
    return new JobSpec(
        new JobKey(new TeamId(team), key),
        "",
        c,
        START_MILLIS + 100_000_000,
        ONE_SLOT,
        tasks,
        1_000,
        repeatable,
        "",
        key);
  }

  static JobSpec urgent(String key) {
    return job("a", key, WorkloadClass.URGENT, 1, true);
  }

  static JobSpec deferrable(String key) {
    return job("a", key, WorkloadClass.DEFERRABLE, 1, true);
  }

  static JobSpec withDeadline(JobSpec s, long deadline) {
    return new JobSpec(
        s.key(),
        s.queue(),
        s.workloadClass(),
        deadline,
        s.taskSize(),
        s.tasks(),
        s.expectedRunMillis(),
        s.repeatable(),
        s.payload(),
        s.fingerprint());
  }

  static JobSpec withSize(JobSpec s, ResourceVector size) {
    return new JobSpec(
        s.key(),
        s.queue(),
        s.workloadClass(),
        s.deadlineMillis(),
        size,
        s.tasks(),
        s.expectedRunMillis(),
        s.repeatable(),
        s.payload(),
        s.fingerprint());
  }

  static ResourceVector slots(int n) {
    return ONE_SLOT.times(n);
  }

  /**
   * Returns a manifest with the teams a, b and c with shares 1, 2 and 3; the given failure domains
   * are out of service.
   */
  static Manifest manifest(int limit, Set<String> drained) {
    List<Team> teams = new ArrayList<>();
    int share = 1;
    for (String t : List.of("a", "b", "c")) {
      teams.add(new Team(t, "", "r", share++, limit, 0, List.of()));
    }
    List<FailureDomain> domains = new ArrayList<>();
    for (String d : List.of("d0", "d1", "d2")) {
      domains.add(new FailureDomain(d, "r", !drained.contains(d)));
    }
    return new Manifest(1, "cell", List.of(new Region("r", 1)), domains, teams, List.of());
  }

  static WorkerInfo worker(int i, int slots) {
    return new WorkerInfo(
        new WorkerId(String.format("w%02d", i)),
        "r",
        "d" + i % 3,
        "rack" + i / 6 + "-" + i % 3,
        "",
        0,
        slots(slots),
        false);
  }
}
