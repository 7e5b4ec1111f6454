package dev.dandelionport.core.scheduler;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import java.util.Map;

/**
 * Room that is being collected for a gang.
 *
 * @param job the gang
 * @param tasks number of its tasks per worker
 * @param readyMillis when all the room is expected to be free
 * @param deadlineMillis when the reservation is given up
 */
record GangReservation(
    JobState job, Map<WorkerId, Integer> tasks, long readyMillis, long deadlineMillis) {

  ResourceVector taskSize() {
    return job.spec.taskSize();
  }
}
