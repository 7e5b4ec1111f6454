package dev.dandelionport.core.manifest;

/**
 * One difference between two manifests.
 *
 * @param kind kind of change, such as {@code key_withdrawn} or {@code team_limit}
 * @param subject name of the changed element, such as {@code team/key}
 * @param before previous value, or empty
 * @param after new value, or empty
 */
public record ManifestChange(String kind, String subject, String before, String after) {
  @Override
  public String toString() {
    String values = before.isEmpty() && after.isEmpty() ? "" : ": " + before + " -> " + after;
    return kind + " " + subject + values;
  }
}
