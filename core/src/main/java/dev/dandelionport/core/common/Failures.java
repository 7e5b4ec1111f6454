package dev.dandelionport.core.common;

import java.util.concurrent.CompletionException;

/** Utility for exceptions of failed futures. */
public final class Failures {

  private Failures() {}

  /**
   * Returns the exception that made a future fail, without the {@link CompletionException} that
   * dependent stages wrap around it.
   */
  public static Throwable cause(Throwable e) {
    return e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
  }
}
