package dev.dandelionport.core.workflow;

/**
 * What some passes of the placement looked at.
 *
 * @param passes number of passes
 * @param looked steps for which runners were looked at, over all passes
 * @param cutOff steps that the passes did not reach because of their bound, over all passes
 * @param mostCutOff most of these in one pass
 */
public record PassCounts(long passes, long looked, long cutOff, int mostCutOff) {

  static final PassCounts NONE = new PassCounts(0, 0, 0, 0);

  PassCounts plus(int lookedAt, int notReached) {
    return new PassCounts(
        passes + 1, looked + lookedAt, cutOff + notReached, Math.max(mostCutOff, notReached));
  }
}
