package dev.dandelionport.core.testing;

import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.workflow.StepSpec;
import java.util.List;

/** Factory of workflow steps that only require resources. */
public final class StepSpecs {

  private StepSpecs() {}

  /** Returns a step whose tasks are independent of each other. */
  public static StepSpec of(int tasks, ResourceVector size, long estimateMillis, Integer... after) {
    return plain(tasks, size, estimateMillis, List.of(after), false);
  }

  /** Returns a step whose tasks must all run at the same time. */
  public static StepSpec gang(int tasks, ResourceVector size, long estimateMillis) {
    return plain(tasks, size, estimateMillis, List.of(), true);
  }

  /** Returns a step whose tasks write checkpoints. */
  public static StepSpec checkpointing(int tasks, ResourceVector size, long estimateMillis) {
    return step(tasks, size, estimateMillis, List.of(), true, false);
  }

  /** Returns a step whose tasks run until their workflow is cancelled. */
  public static StepSpec longRunning(int tasks, ResourceVector size) {
    StepSpec s = plain(tasks, size, 400, List.of(), false);
    return copy(s, false, "", 0, true, false);
  }

  /** Returns a copy of a step whose tasks only use processor time that others leave unused. */
  public static StepSpec bestEffort(StepSpec s) {
    return copy(s, s.sameRack(), s.dataRack(), s.maxPerRunner(), s.longRunning(), true);
  }

  /** Returns a copy of a step restricted to one rack. */
  public static StepSpec onOneRack(StepSpec s) {
    return copy(s, true, s.dataRack(), s.maxPerRunner(), s.longRunning(), s.bestEffort());
  }

  /** Returns a copy of a step whose data is on a rack. */
  public static StepSpec withDataRack(StepSpec s, String rack) {
    return copy(s, s.sameRack(), rack, s.maxPerRunner(), s.longRunning(), s.bestEffort());
  }

  /** Returns a copy of a step with a limit on its tasks per runner. */
  public static StepSpec limitedPerRunner(StepSpec s, int maxPerRunner) {
    return copy(s, s.sameRack(), s.dataRack(), maxPerRunner, s.longRunning(), s.bestEffort());
  }

  /** Returns a copy of a step that requires a label of its runners. */
  public static StepSpec requiring(StepSpec s, String label) {
    return copy(
        s, label, s.sameRack(), s.dataRack(), s.maxPerRunner(), s.longRunning(), s.bestEffort());
  }

  private static StepSpec copy(
      StepSpec s,
      boolean oneRack,
      String dataRack,
      int maxPerRunner,
      boolean longRunning,
      boolean bestEffort) {
    return copy(s, s.requiredLabel(), oneRack, dataRack, maxPerRunner, longRunning, bestEffort);
  }

  private static StepSpec copy(
      StepSpec s,
      String requiredLabel,
      boolean oneRack,
      String dataRack,
      int maxPerRunner,
      boolean longRunning,
      boolean bestEffort) {
    return new StepSpec(
        s.tasks(),
        s.size(),
        s.estimateMillis(),
        s.dependencies(),
        s.checkpoints(),
        s.gang(),
        oneRack,
        requiredLabel,
        dataRack,
        maxPerRunner,
        s.speculative(),
        longRunning,
        bestEffort,
        s.image(),
        s.latencyTargetMillis(),
        s.maxUnavailable());
  }

  private static StepSpec plain(
      int tasks, ResourceVector size, long estimateMillis, List<Integer> after, boolean gang) {
    return step(tasks, size, estimateMillis, after, false, gang);
  }

  /** Returns a step without constraints on its runners. */
  public static StepSpec step(
      int tasks,
      ResourceVector size,
      long estimateMillis,
      List<Integer> after,
      boolean checkpoints,
      boolean gang) {
    return new StepSpec(
        tasks,
        size,
        estimateMillis,
        after,
        checkpoints,
        gang,
        false,
        "",
        "",
        0,
        false,
        false,
        false,
        "",
        0,
        0);
  }
}
