package dev.dandelionport.core.workflow;

import java.util.List;

/**
 * What one step of the scheduler produced.
 *
 * @param records facts to append to the journal, in order
 * @param effects effects to carry out, in order
 */
public record WorkflowDecision(List<WorkflowRecord> records, List<WorkflowEffect> effects) {}
