package dev.dandelionport.core.workflow;

import java.util.List;

/**
 * What the scheduler produced since its last decision was taken.
 *
 * @param records records to append to the journal, in order
 * @param effects effects to carry out, in order
 */
public record WorkflowDecision(List<WorkflowRecord> records, List<WorkflowEffect> effects) {}
