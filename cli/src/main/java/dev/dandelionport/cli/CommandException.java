package dev.dandelionport.cli;

/** Signals that a command failed; carries the exit status of the program. */
final class CommandException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final int status;

  CommandException(int status, String message) {
    super(message);
    this.status = status;
  }

  int status() {
    return status;
  }
}
