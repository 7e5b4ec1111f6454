package dev.dandelionport.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Identifies one attempt to run one task of a job.
 *
 * @param job job of the task
 * @param task index of the task within the job, from 0
 * @param attempt number of the attempt, from 1
 */
public record AttemptId(JobKey job, int task, int attempt) {

  /** Parses the form that {@link #toString} produces. */
  @JsonCreator
  public static AttemptId parse(String text) {
    int slash = text.indexOf('/');
    int hash = text.lastIndexOf('#');
    int dot = text.lastIndexOf('.');
    if (slash <= 0 || hash <= slash || dot <= hash) {
      throw new IllegalArgumentException("not an attempt id: " + text);
    }
    TeamId team = new TeamId(text.substring(0, slash));
    JobKey job = new JobKey(team, text.substring(slash + 1, hash));
    return new AttemptId(
        job,
        Integer.parseInt(text.substring(hash + 1, dot)),
        Integer.parseInt(text.substring(dot + 1)));
  }

  @JsonValue
  @Override
  public String toString() {
    return job + "#" + task + "." + attempt;
  }
}
