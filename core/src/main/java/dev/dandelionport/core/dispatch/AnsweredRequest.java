package dev.dandelionport.core.dispatch;

import dev.dandelionport.core.message.WorkflowStatus;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * What the instance that a client asked reports of a request when it is answered. It has neither
 * the API key nor the body of the request.
 *
 * @param kind the operation, or the HTTP method if that names no operation
 * @param path path of the request
 * @param status the answer
 * @param why why this instance decided the answer, empty if an owner did
 * @param attempts calls of an owner that were made for the request
 * @param unanswered attempts that may have had an effect and had no definite answer
 * @param owner id of the instance that gave the last answer to an attempt, empty if none did
 * @param waitedMillis time until the answer in milliseconds
 */
public record AnsweredRequest(
    String kind,
    String path,
    WorkflowStatus status,
    String why,
    int attempts,
    int unanswered,
    String owner,
    long waitedMillis) {

  /** Longest path that is reported in full, in characters. */
  private static final int MAX_PATH_LENGTH = 200;

  /** Returns a request that was rejected as malformed before any attempt. */
  public static AnsweredRequest rejected(String kind, String path, String why) {
    return new AnsweredRequest(kind, path, WorkflowStatus.INVALID, why, 0, 0, "", 0);
  }

  /** Returns the fields of {@link DispatchTopic#REQUEST_ANSWERED}, without those that are empty. */
  public Map<String, Object> fields() {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put("kind", kind);
    fields.put("path", shortPath());
    fields.put("status", status.name());
    if (!why.isEmpty()) {
      fields.put("why", why);
    }
    fields.put("attempts", attempts);
    fields.put("unanswered", unanswered);
    if (!owner.isEmpty()) {
      fields.put("owner", owner);
    }
    fields.put("waitedMillis", waitedMillis);
    return fields;
  }

  /** Returns the path, or the end of a long one, as the id of the request is at the end. */
  private String shortPath() {
    int excess = path.length() - MAX_PATH_LENGTH;
    return excess <= 0 ? path : "..." + path.substring(excess);
  }
}
