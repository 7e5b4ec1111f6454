package dev.dandelionport.core.common;

/**
 * One problem of a JSON document.
 *
 * @param path JSON path of the invalid value, such as {@code $.teams[0].share}
 * @param message what is wrong with the value and which values are allowed
 */
public record JsonProblem(String path, String message) {
  @Override
  public String toString() {
    return path + ": " + message;
  }
}
