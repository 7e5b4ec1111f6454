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

/** Authenticates callers and decides which jobs they may submit, query or cancel. */
final class CallerAuthorizer {

  /**
   * Shortest request key of a submission without a team key. Whoever sends the request again with
   * the same key gets the results of the job, so the key must be hard to guess.
   */
  private static final int MIN_KEYLESS_REQUEST_KEY_CHARS = 20;

  private static final String BEARER = "Bearer ";

  private final ManifestViews views;

  CallerAuthorizer(ManifestViews views) {
    this.views = views;
  }

  /**
   * The result of authorizing a submission.
   *
   * @param job key under which the job is stored
   * @param view the manifest version that the request was checked against
   * @param queue the queue that the request names, if any
   * @param keyless whether the request has no team key
   */
  record Grant(JobKey job, ManifestView view, Optional<Queue> queue, boolean keyless) {}

  /** Rejects a request with an invalid key, so that its body need not be received. */
  void rejectInvalidKey(RequestHeaders headers) {
    Optional<String> key = bearerToken(headers);
    if (key.isPresent()) {
      authenticateTeam(currentView(), key);
    }
  }

  /**
   * Checks that the caller may submit to the queue that the request names, and returns the key of
   * the new job.
   */
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

  /**
   * Checks that the caller may query or cancel a job and returns the key of the job. {@code queue}
   * is empty or the id of an open queue.
   */
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

  /**
   * Returns the key of a job of an open queue. The prefix prevents collisions with jobs that the
   * team submits with its own key.
   */
  private static JobKey openQueueJob(Queue q, String requestKey) {
    return new JobKey(new TeamId(q.team()), "queue/" + q.id() + "/" + requestKey);
  }

  /** Returns the request key as the caller sent it, without the prefix of an open queue. */
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
                // The request may be a retry of a running job. Without a manifest the job's
                // partition is not known, so the outcome is reported as unknown.
                new RequestException(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    "unknown",
                    "",
                    "the instance knows no manifest yet; ask again with the same request key",
                    true));
  }

  /**
   * Returns the bearer token of a request, or an empty string for another authorization scheme. The
   * scheme name is case-insensitive.
   */
  static Optional<String> bearerToken(RequestHeaders headers) {
    String h = headers.get(HttpHeaderNames.AUTHORIZATION);
    if (h == null) {
      return Optional.empty();
    }
    boolean scheme = h.regionMatches(true, 0, BEARER, 0, BEARER.length());
    return Optional.of(scheme ? h.substring(BEARER.length()).trim() : "");
  }
}
