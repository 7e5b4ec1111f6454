package dev.dandelionport.core.manifest;

import static org.assertj.core.api.Assertions.assertThat;

import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.JsonProblem;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;

class ManifestReaderTest {

  private static final String HASH = "ab".repeat(32);

  private static final String VALID_MANIFEST =
      """
      {"version": 1, "cell": "c1",
       "regions": [{"id": "r1", "partitions": 2}],
       "failureDomains": [{"id": "fd-a", "region": "r1", "inService": true}],
       "clientAccounts": [{"id": "acme", "name": "Acme"}],
       "teams": [{"id": "t1", "clientAccount": "acme", "homeRegion": "r1", "share": 1.5,
         "limit": 0, "admissionPerSecond": 10,
         "keys": [{"id": "k1", "salt": "0011223344556677", "hash": "HASH"}]}],
       "queues": [{"id": "q1", "team": "t1", "open": true, "defaultClass": "urgent",
         "tokenKey": "HASH"}],
       "policies": {"urgent": {"headroomPercent": 7}}}
      """
          .replace("HASH", HASH);

  private static ManifestResult read(String json) {
    return ManifestReader.read(json.getBytes(StandardCharsets.UTF_8));
  }

  private static List<String> paths(String json) {
    return read(json).problems().stream().map(JsonProblem::path).toList();
  }

  /** Fails if the reader rejects a valid manifest or drops one of its fields. */
  @Test
  void readsEveryField() {
    ManifestResult r = read(VALID_MANIFEST);
    assertThat(r.problems()).isEmpty();
    Manifest m = r.manifest().orElseThrow();
    assertThat(m.teams().get(0).keys().get(0))
        .isEqualTo(new TeamKey("k1", "0011223344556677", HASH));
    assertThat(m.policies().urgent().headroomPercent()).isEqualTo(7);
    assertThat(m.policies().gang()).isEqualTo(Policies.DEFAULT.gang());
    assertThat(m.clientAccounts()).containsExactly(new ClientAccount("acme", "Acme"));
  }

  /**
   * Fails if instances decode a stored manifest differently from the committed one, or if the
   * reader rejects its stored form.
   */
  @Test
  void storedFormKeepsEveryFieldAndIsAccepted() {
    Manifest m = read(VALID_MANIFEST).manifest().orElseThrow().withCommit(new Commit("anna", 5));
    byte[] stored = JsonCodec.encode(m);
    assertThat(JsonCodec.decode(stored, Manifest.class)).isEqualTo(m);
    assertThat(ManifestReader.read(stored).problems()).isEmpty();
  }

  /**
   * Fails if the reader stops at the first problem, so that operators need several attempts to
   * correct a manifest.
   */
  @Test
  void reportsAllProblemsAtOnceWithTheirPaths() {
    String bad =
        VALID_MANIFEST
            .replace("\"limit\": 0", "\"limit\": -1, \"limt\": 3")
            .replace("\"share\": 1.5", "\"share\": 0")
            .replace("\"homeRegion\": \"r1\"", "\"homeRegion\": \"r2\"")
            .replace("\"salt\": \"0011223344556677\"", "\"salt\": \"xyz\"")
            .replace("\"team\": \"t1\", \"open\"", "\"team\": \"T1\", \"open\"")
            .replace("\"defaultClass\": \"urgent\"", "\"defaultClass\": \"fast\"")
            .replace("\"headroomPercent\": 7", "\"headroomPercent\": 101")
            .replace("\"region\": \"r1\"", "\"region\": \"r9\"");
    assertThat(paths(bad))
        .containsExactlyInAnyOrder(
            "$.teams[0].limit",
            "$.teams[0].limt",
            "$.teams[0].share",
            "$.teams[0].homeRegion",
            "$.teams[0].keys[0].salt",
            "$.queues[0].team",
            "$.queues[0].defaultClass",
            "$.policies.urgent.headroomPercent",
            "$.failureDomains[0].region",
            "$.failureDomains");
    assertThat(read(bad).manifest()).isEmpty();
  }

  /**
   * Fails if the reader accepts policies whose headroom adds up to more than 100 percent of the
   * capacity.
   */
  @Test
  void rejectsTotalHeadroomAboveOneHundredPercent() {
    String bad = VALID_MANIFEST.replace("7}}", "60}, \"service\": {\"headroomPercent\": 41}}");
    assertThat(paths(bad)).containsExactly("$.policies.*.headroomPercent");
  }

  /** Fails if the message of a problem does not list the allowed values. */
  @Test
  void problemsNameTheAllowedValues() {
    String bad =
        VALID_MANIFEST.replace("\"defaultClass\": \"urgent\"", "\"defaultClass\": \"fast\"");
    assertThat(read(bad).problems().get(0).message())
        .isEqualTo("must be one of urgent, deferrable, service, gang; found \"fast\"");
  }

  /**
   * Fails if the reader accepts a key id or a field that occurs twice, which would make a lookup by
   * key id ambiguous.
   */
  @Test
  void rejectsRepeatedIdsAndRepeatedFields() {
    String key = "{\"id\": \"k1\", \"salt\": \"0011223344556677\", \"hash\": \"" + HASH + "\"}";
    assertThat(paths(VALID_MANIFEST.replace(key, key + "," + key)))
        .containsExactly("$.teams[0].keys[1].id");
    assertThat(
            paths(VALID_MANIFEST.replace("\"cell\": \"c1\"", "\"cell\": \"c1\", \"cell\": \"c2\"")))
        .containsExactly("$");
  }

  /**
   * Fails if the message of a problem contains a token key. Such messages may end up in build logs.
   */
  @Test
  void keepsSecretsOutOfProblemMessages() {
    String bad =
        VALID_MANIFEST.replace("\"tokenKey\": \"" + HASH, "\"tokenKey\": \"secretpart" + HASH);
    assertThat(read(bad).problems()).hasSize(1);
    assertThat(read(bad).problems().get(0).message()).doesNotContain("secretpart");
  }

  /**
   * Fails if a new version may skip a version number or change a region's partition count. With
   * another count, jobs would get another home partition.
   */
  @Test
  void nextVersionMustFollowTheBaseAndKeepItsPartitions() {
    Manifest base = read(VALID_MANIFEST).manifest().orElseThrow();
    String next =
        VALID_MANIFEST
            .replace("\"version\": 1", "\"version\": 3")
            .replace("\"partitions\": 2", "\"partitions\": 3");
    ManifestResult r =
        ManifestReader.readNext(next.getBytes(StandardCharsets.UTF_8), Optional.of(base));
    assertThat(r.problems().stream().map(JsonProblem::path))
        .containsExactly("$.version", "$.regions[0].partitions");
  }

  /** Fails if the reader accepts a manifest that is larger than the store's value limit. */
  @Test
  void rejectsDocumentsAboveTheStoreValueLimit() {
    assertThat(paths(VALID_MANIFEST + " ".repeat(ManifestReader.MAX_BYTES))).containsExactly("$");
  }

  /**
   * Fails if the reader throws or hangs on corrupted input. Random bytes and values of a valid
   * manifest are replaced.
   */
  @Test
  void neverThrowsOnCorruptedInput() {
    Random random = new Random(20_261_204);
    byte[] good = VALID_MANIFEST.getBytes(StandardCharsets.UTF_8);
    String[] pieces = {
      "null", "[]", "{}", "-1", "1e400", "\"\\u0000\"", "99999999999999999999", "[[["
    };
    for (int n = 0; n < 20_000; n++) {
      byte[] bytes = good.clone();
      for (int k = random.nextInt(4); k >= 0; k--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      String text = new String(bytes, StandardCharsets.UTF_8);
      if (n % 2 == 0) {
        int at = text.indexOf(':', random.nextInt(text.length()));
        int end = at < 0 ? -1 : text.indexOf(',', at);
        if (end > 0) {
          text =
              text.substring(0, at + 1)
                  + pieces[random.nextInt(pieces.length)]
                  + text.substring(end);
        }
      }
      ManifestResult r = read(text);
      assertThat(r.manifest().isPresent()).as("input %s", text).isEqualTo(r.problems().isEmpty());
      r.problems().forEach(p -> assertThat(p.message()).hasSizeLessThan(2_000));
    }
  }

  /**
   * Fails if deeply nested input causes a stack overflow, or if input with many unknown fields
   * causes an unbounded list of problems.
   */
  @Test
  void limitsNestingDepthAndNumberOfProblems() {
    assertThat(paths("[".repeat(400_000))).containsExactly("$");
    StringBuilder many = new StringBuilder("{\"version\": 1");
    for (int i = 0; i < 40_000; i++) {
      many.append(",\"x").append(i).append("\":1");
    }
    assertThat(read(many.append('}').toString()).problems()).hasSizeLessThanOrEqualTo(1_001);
  }
}
