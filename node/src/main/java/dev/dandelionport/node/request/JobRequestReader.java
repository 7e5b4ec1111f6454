package dev.dandelionport.node.request;

import dev.dandelionport.core.common.JsonFields;
import dev.dandelionport.core.common.JsonProblems;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkloadClass;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/** Parses the body of a submit request and reports all its errors at once. */
final class JobRequestReader {

  /** Longest time that a caller may wait for the end of a job, in milliseconds. */
  static final long MAX_WAIT_MILLIS = 60_000;

  /** Deadline of a service without one: the last millisecond of the year 9999. */
  static final long NO_DEADLINE = 253_402_300_799_999L;

  static final String REQUEST_KEY_RULE = "1 to 128 characters of [A-Za-z0-9._~:-]";
  static final Predicate<String> REQUEST_KEY =
      Pattern.compile("[A-Za-z0-9._~:-]{1,128}").asMatchPredicate();

  private static final Predicate<String> QUEUE =
      Pattern.compile("[a-z0-9-]{0,63}").asMatchPredicate();
  private static final long MAX_TASKS = 1_000;
  private static final long MAX_RUN_MILLIS = 3_650L * 24 * 3_600 * 1_000;

  private JobRequestReader() {}

  /**
   * Parses a submit request. A deadline in the past is reported only together with other errors. On
   * its own it is accepted here, because the request may be a retry of a known job; the owner of
   * the job recognizes retries and rejects new jobs.
   */
  static JobRequest read(byte[] body, long nowMillis) {
    JsonProblems problems = new JsonProblems();
    Optional<JobRequest> r = problems.parse(body).map(JobRequestReader::request);
    if (!problems.list().isEmpty()) {
      r.filter(x -> x.deadlineMillis() > 1 && x.deadlineMillis() <= nowMillis)
          .ifPresent(x -> problems.add("$.deadlineMillis", "must be after now"));
      throw RequestException.invalid(problems.list());
    }
    return r.orElseThrow();
  }

  private static JobRequest request(JsonFields f) {
    final String key = f.text("requestKey", REQUEST_KEY, REQUEST_KEY_RULE);
    final String queue = f.text("queue", "", QUEUE, "the id of a queue, in [a-z0-9-]");
    WorkloadClass c = null;
    if (f.has("workloadClass") || queue.isEmpty()) {
      c = f.choice("workloadClass", null, WorkloadClass.values());
    } else {
      f.ignore("workloadClass");
    }
    Long defaultDeadline = c == WorkloadClass.SERVICE ? NO_DEADLINE : null;
    long deadline = f.number("deadlineMillis", defaultDeadline, 1, NO_DEADLINE);
    ResourceVector size =
        new ResourceVector(
            1,
            (int) f.number("connections", 1L, 0, 10_000),
            f.number("milliCores", 1_000L, 1, 1_000_000),
            f.number("memoryMb", 256L, 1, 10_000_000),
            (int) f.number("accelerators", 0L, 0, 64));
    JobRequest r =
        new JobRequest(
            key,
            queue,
            c,
            deadline,
            size,
            (int) f.number("tasks", 1L, 1, MAX_TASKS),
            f.number("expectedRunMillis", 1_000L, 1, MAX_RUN_MILLIS),
            f.bool("repeatable", null),
            f.text("payload", "", s -> true, "a text"),
            f.number("waitMillis", 0L, 0, MAX_WAIT_MILLIS));
    f.rejectUnknownFields();
    return r;
  }
}
