package dev.dandelionport.core.manifest;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ManifestDiffTest {

  private static Manifest manifest(boolean inService, int limit, List<TeamKey> keys) {
    return new Manifest(
        1,
        "c1",
        List.of(new Region("r1", 1)),
        List.of(new FailureDomain("fd-a", "r1", inService)),
        List.of(new Team("t1", "acme", "r1", 1, limit, 10, keys)),
        List.of());
  }

  /**
   * Fails if the diff omits a withdrawn key, a changed limit or a drained failure domain, which an
   * operator would then commit unnoticed.
   */
  @Test
  void listsKeysLimitsAndDomains() {
    TeamKey old = new TeamKey("old", "00", "01");
    TeamKey kept = new TeamKey("kept", "00", "01");
    TeamKey rotated = new TeamKey("kept", "00", "02");
    Manifest before = manifest(true, 5, List.of(old, kept));
    Manifest after = manifest(false, 3, List.of(rotated));
    assertThat(ManifestDiff.between(before, after).stream().map(ManifestChange::toString))
        .containsExactly(
            "failure_domain_drained fd-a",
            "team_limit t1: 5 -> 3",
            "key_withdrawn t1/old",
            "key_withdrawn t1/kept",
            "key_granted t1/kept");
  }

  /** Fails if the diff reports a change although the manifests are equal. */
  @Test
  void reportsNoChangeBetweenEqualManifests() {
    Manifest m = manifest(true, 5, List.of());
    assertThat(ManifestDiff.between(m, m)).isEmpty();
  }
}
