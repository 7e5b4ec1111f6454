package dev.dandelionport.node.process;

import dev.dandelionport.core.common.JsonProblem;
import java.util.List;

/** Thrown when the settings are missing or invalid; lists every error with its JSON path. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient List<JsonProblem> problems;

  /** Creates the exception for a file that cannot be read. */
  public SettingsException(String message, Throwable cause) {
    super(message, cause);
    this.problems = List.of();
  }

  /** Creates the exception for errors in the settings from {@code source}. */
  public SettingsException(String source, List<JsonProblem> problems) {
    super(
        "settings "
            + source
            + " have "
            + problems.size()
            + (problems.size() == 1 ? " error:" : " errors:")
            + String.join("", problems.stream().map(p -> "\n  " + p).toList()));
    this.problems = List.copyOf(problems);
  }

  /** Returns the errors. */
  public List<JsonProblem> problems() {
    return problems;
  }
}
