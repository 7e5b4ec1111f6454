package dev.dandelionport.core.workflow;

import java.util.Comparator;

/**
 * Identifies one incarnation of a runner: the time from one of its starts to the next. A runner may
 * start again under its id, even as another kind.
 *
 * @param runner id of the runner
 * @param startMillis its start, milliseconds since 1970 by the runner's wall clock; 0 for none
 */
record IncarnationId(String runner, long startMillis) implements Comparable<IncarnationId> {

  private static final Comparator<IncarnationId> ORDER =
      Comparator.comparing(IncarnationId::runner).thenComparingLong(IncarnationId::startMillis);

  @Override
  public int compareTo(IncarnationId o) {
    return ORDER.compare(this, o);
  }
}
