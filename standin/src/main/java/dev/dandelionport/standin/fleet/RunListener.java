package dev.dandelionport.standin.fleet;

/** Is told of each run that starts or ends, on the thread of the stand-in. */
@FunctionalInterface
public interface RunListener {

  /** Handles a change of a run: {@code started}, or the outcome with which it ended. */
  void runChanged(String change, String task, int run);
}
