package dev.dandelionport.core.common;

import java.util.concurrent.CompletionException;

/** Reads failures of futures. */
public final class Failures {

  private Failures() {}

  /** Returns what made a future fail, without the wrapper that a dependent stage puts around it. */
  public static Throwable cause(Throwable e) {
    return e instanceof CompletionException && e.getCause() != null ? e.getCause() : e;
  }
}
