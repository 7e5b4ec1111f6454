package dev.dandelionport.standin.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * One request of a load run.
 *
 * @param kind kind of request
 * @param key API key to submit with, empty for none
 * @param requestKey the caller's request key, unique in the run
 * @param entry index of the first entry instance to use
 * @param runMillis run time of each task
 * @param dueMillis submit time, in milliseconds after the start of the run
 */
record LoadRequest(
    LoadKind kind, String key, String requestKey, int entry, long runMillis, long dueMillis) {

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Returns the payload of the tasks; it contains the request key so that each result can be
   * matched to its request.
   */
  String payload() {
    return "run=" + runMillis + " id=" + requestKey + (kind.repeatable ? "" : " once");
  }

  /** Returns the body of the submit request. */
  ObjectNode body(long deadlineMillis, long waitMillis, String openQueue) {
    ObjectNode body = JSON.createObjectNode();
    body.put("requestKey", requestKey).put("workloadClass", kind.workloadClass);
    body.put("deadlineMillis", deadlineMillis).put("tasks", kind.tasks);
    body.put("repeatable", kind.repeatable).put("milliCores", 500).put("memoryMb", 64);
    body.put("payload", payload()).put("waitMillis", waitMillis);
    if (kind == LoadKind.OPEN) {
      body.put("queue", openQueue);
    }
    return body;
  }
}
