package dev.dandelionport.node.request;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import dev.dandelionport.core.common.JobKey;
import dev.dandelionport.core.common.TeamId;
import dev.dandelionport.core.manifest.Queue;
import dev.dandelionport.node.version.ManifestView;
import dev.dandelionport.node.version.ManifestViews;
import java.util.Optional;

/** Decides which job a caller may submit, ask about or cancel. */
final class CallerAuthorizer {

  /**
   * Shortest request key without a team key: it is all that protects such a job's results when the
   * request is sent again, so it must be hard to guess.
   */
  private static final int MIN_KEYLESS_REQUEST_KEY_CHARS = 20;

  private static final String BEARER = "Bearer ";

  private final ManifestViews views;

  CallerAuthorizer(ManifestViews views) {
    this.views = views;
  }

  /**
   * What a caller may do.
   *
   * @param job the job
   * @param view manifest version that was applied
   * @param queue the queue that the request named, if any
   * @param keyless whether the caller showed no team key
   */
  record Grant(JobKey job, ManifestView view, Optional<Queue> queue, boolean keyless) {}

  /** Refuses a key that is not valid before the body is received. */
  void rejectInvalidKey(RequestHeaders headers) {
    Optional<String> key = bearerToken(headers);
    if (key.isPresent()) {
      authenticateTeam(currentView(), key);
    }
  }

  /** Returns the job that a submission creates. */
  Grant authorizeSubmission(RequestHeaders headers, JobRequest r) {
    ManifestView v = currentView();
    Optional<Queue> q = v.queue(r.queue());
    Optional<String> key = bearerToken(headers);
    if (key.isEmpty() && q.filter(Queue::open).isPresent()) {
      if (r.requestKey().length() < MIN_KEYLESS_REQUEST_KEY_CHARS) {
        throw RequestException.invalid(
            "requestKey",
            "requestKey must have at least 20 characters, chosen at random, without a team key");
      }
      return new Grant(openQueueJob(q.get(), r.requestKey()), v, q, true);
    }
    String team = authenticateTeam(v, key);
    if (!r.queue().isEmpty() && q.isEmpty()) {
      throw RequestException.invalid(
          "queue", "queue must name a queue of the manifest; found " + r.queue());
    }
    if (q.isPresent() && !q.get().team().isEmpty() && !q.get().team().equals(team)) {
      throw RequestException.invalid("queue", "queue must be one that the team may use");
    }
    if (q.filter(Queue::open).isPresent()) {
      return new Grant(openQueueJob(q.get(), r.requestKey()), v, q, false);
    }
    return new Grant(new JobKey(new TeamId(team), r.requestKey()), v, q, false);
  }

  /** Returns the job that a caller asks about; {@code queue} is empty or names an open queue. */
  JobKey authorizeExistingJob(RequestHeaders headers, String requestKey, String queue) {
    ManifestView v = currentView();
    Optional<String> key = bearerToken(headers);
    if (queue.isEmpty()) {
      return new JobKey(new TeamId(authenticateTeam(v, key)), requestKey);
    }
    Optional<Queue> q = v.queue(queue).filter(Queue::open);
    if (q.isPresent() && !q.get().tokenKey().isEmpty()) {
      JobKey job = openQueueJob(q.get(), requestKey);
      if (key.filter(k -> QueueToken.matches(q.get(), job, k)).isPresent()) {
        return job;
      }
    }
    String team = authenticateTeam(v, key);
    if (q.isEmpty() || !q.get().team().equals(team)) {
      throw RequestException.notFound("the job is not known");
    }
    return openQueueJob(q.get(), requestKey);
  }

  /** Keeps jobs of open queues apart from those that the team submits with its key. */
  private static JobKey openQueueJob(Queue q, String requestKey) {
    return new JobKey(new TeamId(q.team()), "queue/" + q.id() + "/" + requestKey);
  }

  /** Returns the request key that the caller chose. */
  static String callerRequestKey(JobKey job) {
    return job.requestKey().substring(job.requestKey().lastIndexOf('/') + 1);
  }

  private static String authenticateTeam(ManifestView v, Optional<String> key) {
    return v.keys().owner(key.orElse("")).orElseThrow(RequestException::unauthorized);
  }

  private ManifestView currentView() {
    return views
        .current()
        .orElseThrow(
            () ->
                // The request may be a retry of one that runs; without a manifest nobody can say.
                new RequestException(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    "unknown",
                    "",
                    "the instance knows no manifest yet; ask again with the same request key",
                    true));
  }

  /** Returns the key that a request shows; the scheme's name is not case-sensitive. */
  static Optional<String> bearerToken(RequestHeaders headers) {
    String h = headers.get(HttpHeaderNames.AUTHORIZATION);
    if (h == null) {
      return Optional.empty();
    }
    boolean scheme = h.regionMatches(true, 0, BEARER, 0, BEARER.length());
    return Optional.of(scheme ? h.substring(BEARER.length()).trim() : "");
  }
}
