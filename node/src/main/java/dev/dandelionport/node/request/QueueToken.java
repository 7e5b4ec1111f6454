package dev.dandelionport.node.request;

import com.google.common.hash.Hashing;
import com.google.common.io.BaseEncoding;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.manifest.Queue;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

/**
 * Token that allows a caller without a team key to fetch the result of one job of an open queue. It
 * is an HMAC-SHA256 of the job key with the queue's token key, so every instance can verify it
 * without stored state.
 */
final class QueueToken {

  private QueueToken() {}

  static String of(Queue q, JobKey job) {
    byte[] key = BaseEncoding.base16().lowerCase().decode(q.tokenKey());
    return Hashing.hmacSha256(key).hashString(job.toString(), StandardCharsets.UTF_8).toString();
  }

  static boolean matches(Queue q, JobKey job, String token) {
    byte[] expected = of(q, job).getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(expected, token.getBytes(StandardCharsets.UTF_8));
  }
}
