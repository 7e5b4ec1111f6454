package dev.dandelionport.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.PartitionId;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Selects the partition of a job or a rack by rendezvous hashing. */
public final class HomePartition {

  private static final HashFunction HASH = Hashing.murmur3_128(0x64616e64);

  private HomePartition() {}

  /** Returns the partition that stores and schedules a job. */
  public static PartitionId ofJob(JobKey job, List<PartitionId> partitions) {
    return highestScoring(job.toString(), partitions);
  }

  /** Returns the partition that schedules tasks on the workers of a rack. */
  public static PartitionId ofRack(String rack, List<PartitionId> partitions) {
    return highestScoring(rack, partitions);
  }

  private static PartitionId highestScoring(String name, List<PartitionId> partitions) {
    PartitionId best = null;
    long bestScore = 0;
    for (PartitionId p : partitions) {
      long score = HASH.hashString(name + '\0' + p, StandardCharsets.UTF_8).asLong();
      if (best == null || score > bestScore) {
        best = p;
        bestScore = score;
      }
    }
    if (best == null) {
      throw new IllegalArgumentException("no partitions to choose from");
    }
    return best;
  }
}
