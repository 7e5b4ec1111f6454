package dev.dandelionport.bench;

import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.common.WorkloadClass;
import dev.dandelionport.core.journal.JournalCodec;
import dev.dandelionport.core.journal.JournalRecord;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Region;
import dev.dandelionport.core.manifest.Team;
import dev.dandelionport.core.port.WorkerInfo;
import dev.dandelionport.core.scheduler.AttemptOutcome;
import dev.dandelionport.core.scheduler.Event;
import dev.dandelionport.core.scheduler.JobPhase;
import dev.dandelionport.core.scheduler.JobSpec;
import dev.dandelionport.core.scheduler.PartitionScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Prints the memory and time that the journal, snapshots, jobs and workers of one partition take;
 * run by bin/capacity.
 */
public final class CapacityFigures {

  private static final PartitionId PARTITION = PartitionId.parse("tallinn-0");
  private static final TeamId TEAM = new TeamId("certificates");
  private static final long START_MILLIS = 1_800_000_000_000L;
  private static final int TEAMS = 20;
  private static final int BATCH_SIZE = 100;
  private static final int TIMING_ROUNDS = 5;

  /** Length of a job fingerprint: a SHA-256 in hexadecimal digits. */
  private static final int FINGERPRINT_CHARS = 64;

  private CapacityFigures() {}

  /** Prints all figures, one line per measurement. */
  public static void main(String[] args) {
    // Heap is measured first, because buffers that the codec caches would be counted later.
    // This first call only loads classes.
    heapBytesPerJob(1_000);
    for (int jobs : new int[] {5_000, 10_000, 20_000}) {
      System.out.printf(Locale.ROOT, "heap jobs=%d bytesPerJob=%d%n", jobs, heapBytesPerJob(jobs));
    }
    for (int workers : new int[] {100, 400, 1_600}) {
      System.out.printf(
          Locale.ROOT, "heap workers=%d bytesPerWorker=%d%n", workers, heapBytesPerWorker(workers));
    }
    for (int payload : new int[] {64, 512, 4_096}) {
      System.out.printf(Locale.ROOT, "record payloadBytes=%d %s%n", payload, recordSizes(payload));
    }
    for (int jobs : new int[] {1_000, 2_000, 4_000}) {
      System.out.printf(
          Locale.ROOT,
          "snapshot jobs=%d bytesPerFinalJob=%.1f%n",
          jobs,
          snapshotBytes(jobs) / (double) jobs);
    }
    for (int jobs : new int[] {1_000, 4_000, 16_000}) {
      System.out.println(replayTiming(jobs));
    }
  }

  private static String recordSizes(int payload) {
    List<JournalRecord> r = jobRecords(0, payload);
    StringBuilder b = new StringBuilder();
    for (JournalRecord journalRecord : r) {
      List<JournalRecord> copies = new ArrayList<>();
      for (int i = 0; i < BATCH_SIZE; i++) {
        copies.add(journalRecord);
      }
      int bytes = encode(copies).length - encode(List.of()).length;
      b.append(journalRecord.getClass().getSimpleName())
          .append("Bytes=")
          .append(bytes / BATCH_SIZE)
          .append(' ');
    }
    return b.append("emptyBatchBytes=").append(encode(List.of()).length).toString();
  }

  /** Returns the four records of a job with one task that succeeded. */
  static List<JournalRecord> jobRecords(int i, int payload) {
    JobKey k = new JobKey(TEAM, "request-" + (1_000_000 + i));
    AttemptId a = new AttemptId(k, 0, 1);
    JobSpec spec =
        new JobSpec(
            k,
            "inspections",
            WorkloadClass.DEFERRABLE,
            START_MILLIS + 3_600_000,
            new ResourceVector(1, 1, 1_000, 1_000, 0),
            1,
            1_000,
            false,
            "p".repeat(payload),
            "f".repeat(FINGERPRINT_CHARS));
    return List.of(
        new JournalRecord.JobAccepted(spec, START_MILLIS),
        new JournalRecord.AttemptIntended(
            a, new WorkerId("worker-" + i % 190), "w-inc-000001", 7, START_MILLIS),
        new JournalRecord.AttemptEnded(a, AttemptOutcome.SUCCEEDED, "done", START_MILLIS + 900),
        new JournalRecord.JobEnded(k, JobPhase.SUCCEEDED, "", START_MILLIS + 900));
  }

  /** Encodes one batch in the format that journal writes and snapshots share. */
  static byte[] encode(List<JournalRecord> records) {
    List<byte[]> encoded = records.stream().map(JournalCodec::encode).toList();
    return JournalCodec.encodeBatch(1_000_000, 7, "entry-1-mx8nhrwv#1", encoded);
  }

  private static List<JournalRecord> journalRecords(int jobs, int payload) {
    List<JournalRecord> all = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      all.addAll(jobRecords(i, payload));
    }
    return all;
  }

  private static PartitionScheduler scheduler(List<JournalRecord> records) {
    return new PartitionScheduler(PARTITION, 8, manifest(), records);
  }

  private static Manifest manifest() {
    List<Team> teams = new ArrayList<>();
    for (int i = 0; i < TEAMS; i++) {
      String id = i == 0 ? TEAM.value() : "team-" + i;
      teams.add(new Team(id, "account", "tallinn", 1.0, 400, 1_000, List.of()));
    }
    return new Manifest(
        1,
        "cell",
        List.of(new Region("tallinn", 1)),
        List.of(new FailureDomain("fd-a", "tallinn", true)),
        teams,
        List.of());
  }

  private static int snapshotBytes(int jobs) {
    PartitionScheduler s = scheduler(journalRecords(jobs, 64));
    return encode(s.snapshot()).length;
  }

  /** Encodes, decodes and replays a journal; returns the shortest time of each step over rounds. */
  private static String replayTiming(int jobs) {
    List<JournalRecord> all = journalRecords(jobs, 64);
    long encode = Long.MAX_VALUE;
    long decode = Long.MAX_VALUE;
    long replay = Long.MAX_VALUE;
    for (int round = 0; round < TIMING_ROUNDS; round++) {
      long t0 = System.nanoTime();
      List<byte[]> batches = new ArrayList<>();
      for (int i = 0; i < all.size(); i += BATCH_SIZE) {
        batches.add(encode(all.subList(i, Math.min(all.size(), i + BATCH_SIZE))));
      }
      long t1 = System.nanoTime();
      List<JournalRecord> decoded =
          batches.stream().flatMap(b -> JournalCodec.decodeBatch(b).records().stream()).toList();
      long t2 = System.nanoTime();
      scheduler(decoded).handle(new Event.Tick(), START_MILLIS + 2_000);
      long t3 = System.nanoTime();
      encode = Math.min(encode, t1 - t0);
      decode = Math.min(decode, t2 - t1);
      replay = Math.min(replay, t3 - t2);
    }
    return String.format(
        Locale.ROOT,
        "replay records=%d encodeMicrosPerRecord=%.2f decodeMillisPer1000=%.2f"
            + " applyMillisPer1000=%.2f",
        all.size(),
        encode / 1e3 / all.size(),
        decode / 1e3 / all.size(),
        replay / 1e3 / all.size());
  }

  private static long heapBytesPerJob(int jobs) {
    long before = usedHeapBytes();
    PartitionScheduler s = scheduler(journalRecords(jobs, 64));
    long after = usedHeapBytes();
    return s.snapshot().isEmpty() ? -1 : (after - before) / jobs;
  }

  private static long heapBytesPerWorker(int workers) {
    PartitionScheduler s = scheduler(List.of());
    final long before = usedHeapBytes();
    List<WorkerInfo> list = new ArrayList<>();
    for (int i = 0; i < workers; i++) {
      list.add(
          new WorkerInfo(
              new WorkerId("worker-" + i),
              "tallinn",
              "fd-a",
              "rack-" + i / 8,
              "10.0.0." + i % 250,
              9_000,
              new ResourceVector(8, 64, 64_000, 131_072, 1),
              false));
    }
    s.handle(new Event.FleetChanged(list), START_MILLIS);
    list = null;
    long after = usedHeapBytes();
    return s.partition() == null ? -1 : (after - before) / workers;
  }

  private static long usedHeapBytes() {
    // The serial collector compacts the heap fully only in every fourth full collection.
    for (int i = 0; i < 4; i++) {
      System.gc();
    }
    Runtime r = Runtime.getRuntime();
    return r.totalMemory() - r.freeMemory();
  }
}
