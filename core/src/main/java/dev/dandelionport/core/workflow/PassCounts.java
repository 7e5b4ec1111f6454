package dev.dandelionport.core.workflow;

/**
 * Counts of several placement passes.
 *
 * @param passes number of passes
 * @param examinedSteps steps for which runners were examined, over all passes
 * @param skippedSteps steps that the passes did not examine because of their limit, over all passes
 * @param maxSkippedSteps maximum of these in one pass
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
