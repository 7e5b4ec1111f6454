package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import java.util.Map;

/**
 * Capacity that is reserved for a gang while it becomes free.
 *
 * @param job the gang
 * @param tasks number of its tasks per worker
 * @param readyMillis when all the capacity is expected to be free
 * @param deadlineMillis when the reservation is released if the gang has not started
 */
record GangReservation(
    JobState job, Map<WorkerId, Integer> tasks, long readyMillis, long deadlineMillis) {

  ResourceVector taskSize() {
    return job.spec.taskSize();
  }
}
