package dev.dandelionport.core.manifest;

/**
 * Author and time of a manifest commit; set by the instance that performs the commit.
 *
 * @param author id of the operator's key
 * @param committedMillis time of the commit, in milliseconds since the Unix epoch
 */
public record Commit(String author, long committedMillis) {

  /** Used for a manifest that no operator has committed yet. */
  public static final Commit NONE = new Commit("", 0);
}
