package dev.dandelionport.core.workflow;

/**
 * What some passes of the placement looked at.
 *
 * @param passes number of passes
 * @param examinedSteps steps for which runners were looked at, over all passes
 * @param skippedSteps steps that the passes did not reach because of their bound, over all passes
 * @param maxSkippedSteps most of these in one pass
 */
public record PassCounts(long passes, long examinedSteps, long skippedSteps, int maxSkippedSteps) {

  static final PassCounts NONE = new PassCounts(0, 0, 0, 0);

  PassCounts plus(int examined, int skipped) {
    return new PassCounts(
        passes + 1,
        examinedSteps + examined,
        skippedSteps + skipped,
        Math.max(maxSkippedSteps, skipped));
  }
}
