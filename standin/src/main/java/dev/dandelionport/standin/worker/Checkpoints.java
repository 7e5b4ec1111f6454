package dev.dandelionport.standin.worker;

import java.util.HashMap;
import java.util.Map;

/** Progress of checkpointed tasks, shared by all workers like the platform's storage. */
public final class Checkpoints {

  private final Map<String, Long> doneMillis = new HashMap<>();

  /** Saves the run time that a task has completed. */
  synchronized void save(String job, long millis) {
    doneMillis.put(job, millis);
  }

  /** Returns the saved run time of a task, or 0 if it has no checkpoint. */
  synchronized long doneMillis(String job) {
    return doneMillis.getOrDefault(job, 0L);
  }

  /** Deletes the checkpoint of a task that has ended. */
  synchronized void remove(String job) {
    doneMillis.remove(job);
  }
}
