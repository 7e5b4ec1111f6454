package dev.dandelionport.core.manifest;

import dev.dandelionport.core.common.JsonProblem;
import java.util.List;
import java.util.Optional;

/**
 * Result of reading a manifest.
 *
 * @param manifest the manifest, present if and only if there are no problems
 * @param problems all problems of the document
 */
public record ManifestResult(Optional<Manifest> manifest, List<JsonProblem> problems) {

  /** Copies the list. */
  public ManifestResult {
    problems = List.copyOf(problems);
  }
}
