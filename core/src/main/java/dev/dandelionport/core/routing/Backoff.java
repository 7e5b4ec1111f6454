package dev.dandelionport.core.routing;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;
import dev.dandelionport.core.common.JobKey;
import java.nio.charset.StandardCharsets;

/**
 * Delays between attempts to send a request. They grow exponentially up to a limit, with jitter
 * from a hash of the job and the attempt, so that requests that failed together are not retried
 * together.
 */
public final class Backoff {

  private static final HashFunction HASH = Hashing.murmur3_32_fixed(0x6a697474);
  private static final long INITIAL_MILLIS = 40;

  /** Maximum delay; it adds to the start time of urgent work after an owner has failed. */
  private static final long MAX_MILLIS = 320;

  private static final int MAX_DOUBLINGS = 3;

  private Backoff() {}

  /** Returns the delay after attempt number {@code attempt}, counted from 0, in milliseconds. */
  public static long delayMillis(JobKey job, int attempt) {
    long maxDelayMillis = Math.min(MAX_MILLIS, INITIAL_MILLIS << Math.min(attempt, MAX_DOUBLINGS));
    int hash = HASH.hashString(job + "#" + attempt, StandardCharsets.UTF_8).asInt();
    return maxDelayMillis / 2 + Math.floorMod(hash, maxDelayMillis / 2 + 1);
  }
}
