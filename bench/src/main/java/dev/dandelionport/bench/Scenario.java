package dev.dandelionport.bench;

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
import dev.dandelionport.core.scheduler.JobSpec;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Describes a cell and the jobs that arrive in it, which are generated from a seed.
 *
 * @param workers number of workers, in three failure domains with eight workers per rack
 * @param seconds virtual time during which jobs arrive, in seconds
 * @param load offered load as a fraction of the capacity; above 1 every team always has waiting
 *     tasks
 * @param outage the outage to simulate
 * @param failingWorker whether one worker fails every task that starts on it
 * @param seed seed of the random generator
 */
record Scenario(
    int workers, int seconds, double load, Outage outage, boolean failingWorker, long seed) {

  /** Workers that are unavailable in the middle third of the run. */
  enum Outage {
    NONE,
    /** All workers of failure domain d0 fail. */
    DOMAIN_LOST,
    /** The eight workers of one rack in d0 fail. */
    RACK_LOST,
    /** The failure domains are drained one after the other, each for a tenth of the run. */
    DRAINS
  }

  static final int TEAMS = 20;
  static final int SLOTS = 8;
  static final long START_MILLIS = 1_000_000;

  /** A job with its arrival time and the actual run time of its tasks. */
  record Arrival(long atMillis, JobSpec spec, long runMillis) {}

  Manifest manifest() {
    return manifest(1, "");
  }

  /** Returns the manifest with the given failure domain out of service; empty drains none. */
  Manifest manifest(long version, String drained) {
    List<Team> teams = new ArrayList<>();
    for (int i = 0; i < TEAMS; i++) {
      teams.add(new Team("t" + i, "", "r", 1 + i % 4, 100_000, 0, List.of()));
    }
    List<FailureDomain> domains = new ArrayList<>();
    for (int d = 0; d < 3; d++) {
      domains.add(new FailureDomain("d" + d, "r", !drained.equals("d" + d)));
    }
    return new Manifest(version, "cell", List.of(new Region("r", 1)), domains, teams, List.of());
  }

  Map<TeamId, Integer> permits() {
    Map<TeamId, Integer> m = new HashMap<>();
    manifest().teams().forEach(t -> m.put(new TeamId(t.id()), t.limit()));
    return m;
  }

  List<WorkerInfo> fleet() {
    List<WorkerInfo> list = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      // Half of the workers have 64 cores, half have 32; every tenth has accelerators.
      ResourceVector capacity =
          new ResourceVector(SLOTS, 64, i % 2 == 0 ? 64_000 : 32_000, 128_000, i % 10 == 0 ? 4 : 0);
      String domain = "d" + i % 3;
      String rack = domain + "-" + i / 24;
      WorkerId id = new WorkerId(String.format("w%04d", i));
      list.add(new WorkerInfo(id, "r", domain, rack, "", 0, capacity, false));
    }
    return list;
  }

  /** Generates all jobs, sorted by arrival time. */
  List<Arrival> arrivals() {
    SplittableRandom random = new SplittableRandom(seed);
    List<Arrival> all = new ArrayList<>();
    double slots = workers * (double) SLOTS;
    addServices(all, random, (int) (slots * 0.2));
    addJobs(all, random, WorkloadClass.URGENT, slots * 0.1, 800);
    addJobs(all, random, WorkloadClass.GANG, slots * 0.05 * load, 8_000);
    addJobs(all, random, WorkloadClass.DEFERRABLE, slots * (load - 0.3 - 0.05 * load), 12_000);
    all.sort(Comparator.comparingLong(Arrival::atMillis));
    return all;
  }

  private void addServices(List<Arrival> all, SplittableRandom random, int tasks) {
    for (int i = 0, remaining = tasks; remaining > 0; i++) {
      int n = Math.min(remaining, 2 + random.nextInt(5));
      remaining -= n;
      all.add(
          new Arrival(
              START_MILLIS,
              createJob(random, "service" + i, WorkloadClass.SERVICE, n, START_MILLIS, 1),
              1_000_000_000));
    }
  }

  /** Adds jobs with exponential arrival gaps that occupy {@code busySlots} slots on average. */
  private void addJobs(
      List<Arrival> all,
      SplittableRandom random,
      WorkloadClass c,
      double busySlots,
      double meanMillis) {
    int tasks = c == WorkloadClass.GANG ? 6 : 1;
    double meanGapMillis = meanMillis * tasks / busySlots;
    double arrivalMillis = START_MILLIS + 2_000;
    for (int i = 0; arrivalMillis < START_MILLIS + seconds * 1_000L; i++) {
      arrivalMillis += -Math.log(1 - random.nextDouble()) * meanGapMillis;
      // Log-normal distribution with the given mean.
      double run = meanMillis * Math.exp(0.8 * gaussian(random) - 0.32);
      long millis = Math.max(20, (long) run);
      String key = c.name().charAt(0) + "" + i;
      all.add(
          new Arrival(
              (long) arrivalMillis,
              createJob(random, key, c, tasks, (long) arrivalMillis, millis),
              millis));
    }
  }

  private static double gaussian(SplittableRandom random) {
    double u = 1 - random.nextDouble();
    return Math.sqrt(-2 * Math.log(u)) * Math.cos(2 * Math.PI * random.nextDouble());
  }

  private JobSpec createJob(
      SplittableRandom random,
      String key,
      WorkloadClass c,
      int tasks,
      long arrivalMillis,
      long runMillis) {
    // Skewed demand: a few teams submit most jobs. Under overload demand is uniform, so that every
    // team demands at least its share.
    double skew = load > 1 ? 1 : 2;
    int team = (int) (TEAMS * Math.pow(random.nextDouble(), skew));
    long slackMillis =
        switch (c) {
          case URGENT -> 10_000;
          case SERVICE -> 1_000_000_000;
          case GANG -> 300_000;
          case DEFERRABLE -> 40_000 + random.nextInt(200_000);
        };
    ResourceVector size =
        new ResourceVector(
            1,
            1 + random.nextInt(8),
            1_000 << random.nextInt(4),
            1_000L << random.nextInt(5),
            random.nextInt(40) == 0 && c == WorkloadClass.DEFERRABLE ? 1 : 0);
    // Declared run times are too high or too low by a factor of up to eight.
    long declaredMillis = (long) (runMillis * Math.pow(2, random.nextDouble(-3, 3)));
    boolean repeatable = random.nextInt(5) != 0 || c == WorkloadClass.SERVICE;
    JobKey id = new JobKey(new TeamId("t" + team), key);
    return new JobSpec(
        id,
        "",
        c,
        arrivalMillis + slackMillis,
        size,
        tasks,
        Math.max(1, declaredMillis),
        repeatable,
        "",
        key);
  }
}
