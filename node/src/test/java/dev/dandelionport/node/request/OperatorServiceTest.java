package dev.dandelionport.node.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import dev.dandelionport.node.request.HttpTestCell.Answer;
import java.io.IOException;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the operators' HTTP interface against a running instance. */
class OperatorServiceTest {

  private static HttpTestCell cell;
  private long baseVersion;

  @BeforeAll
  static void start() throws Exception {
    cell = new HttpTestCell(RequestLimits.DEFAULT);
  }

  @AfterAll
  static void stop() {
    cell.close();
  }

  /** Commits a new manifest version for each test, so that the order of tests does not matter. */
  @BeforeEach
  void commitBase() throws Exception {
    baseVersion = get("manifest").body().path("version").asLong() + 1;
    Answer a = cell.putManifest(HttpTestCell.manifest(baseVersion, 100));
    assertThat(a.status()).as(a.toString()).isEqualTo(200);
    awaitVersion(baseVersion);
  }

  private Answer post(String path, String body) throws IOException {
    return cell.call(HttpMethod.POST, "/v1/operator/" + path, HttpTestCell.OPERATOR, body);
  }

  private static String baseVersionBody(long version) {
    return "{\"baseVersion\":" + version + "}";
  }

  private Answer get(String path) throws IOException {
    return cell.call(HttpMethod.GET, "/v1/operator/" + path, HttpTestCell.OPERATOR, "");
  }

  private void awaitVersion(long version) throws Exception {
    for (int i = 0; i < 5_000; i++) {
      if (get("status").body().path("manifest").path("version").asLong() >= version) {
        return;
      }
      Thread.sleep(20);
    }
    throw new AssertionError("manifest version " + version + " is not in force");
  }

  /** Guards against operator calls that are accepted with a team key, a wrong key or no key. */
  @Test
  void onlyOperatorsMayCall() throws IOException {
    for (String key : new String[] {"", HttpTestCell.TEAM_A, "anna.wrong", "bob.operator-secret"}) {
      Answer a = cell.call(HttpMethod.GET, "/v1/operator/manifest", key, "");
      assertThat(a.status() + a.error()).isEqualTo("401unauthorized");
    }
  }

  /** Guards against a commit that silently overwrites another one based on the same version. */
  @Test
  void conflictNamesTheAuthorAndTimeOfTheWinningCommit() throws IOException {
    Answer won = cell.putManifest(HttpTestCell.manifest(baseVersion + 1, 50));
    assertThat(won.body().path("committed").asBoolean()).as(won.toString()).isTrue();
    assertThat(won.body().path("changes").get(0).path("kind").asText()).isEqualTo("team_admission");
    Answer lost = cell.putManifest(HttpTestCell.manifest(baseVersion + 1, 60));
    assertThat(lost.status()).isEqualTo(409);
    assertThat(lost.body().path("message").asText())
        .contains("version " + (baseVersion + 1) + " was committed by anna at 20");
    assertThat(get("manifest").body().path("teams").get(1).path("admissionPerSecond").asInt())
        .isEqualTo(50);
  }

  /** Guards against a check that commits the manifest or stops at the first error. */
  @Test
  void checkReportsAllErrorsAndChangesNothing() throws IOException {
    String bad = HttpTestCell.manifest(baseVersion + 1, -1).replace("\"share\":1", "\"share\":0");
    Answer a = post("manifest/check", bad);
    assertThat(a.body().path("valid").asBoolean()).isFalse();
    assertThat(a.body().path("problems")).hasSize(3);
    Answer good = post("manifest/check", HttpTestCell.manifest(baseVersion + 1, 7));
    assertThat(good.body().path("valid").asBoolean()).as(good.toString()).isTrue();
    assertThat(good.body().path("changes")).hasSize(1);
    assertThat(
            post("manifest/diff", HttpTestCell.manifest(baseVersion + 8, 7)).body().path("changes"))
        .hasSize(1);
    assertThat(get("manifest").body().path("version").asLong()).isEqualTo(baseVersion);
    Answer refused = cell.putManifest(bad);
    assertThat(refused.status()).isEqualTo(400);
    assertThat(refused.body().path("problems")).hasSize(3);
  }

  /**
   * Guards against a drain or return of a failure domain that is applied although it is based on an
   * outdated manifest version.
   */
  @Test
  void failureDomainChangesRequireTheCurrentVersion() throws Exception {
    Answer drained = post("failure-domains/fd-a/drain", baseVersionBody(baseVersion));
    assertThat(drained.body().path("committed").asBoolean()).as(drained.toString()).isTrue();
    awaitVersion(baseVersion + 1);
    assertThat(get("status").body().path("failureDomains").get(0).path("inService").asBoolean())
        .isFalse();
    assertThat(post("failure-domains/fd-a/return", baseVersionBody(baseVersion)).status())
        .isEqualTo(409);
    assertThat(
            post("failure-domains/fd-a/drain", baseVersionBody(baseVersion + 1))
                .body()
                .path("committed")
                .asBoolean())
        .isFalse();
    assertThat(post("failure-domains/fd-a/return", baseVersionBody(baseVersion + 1)).status())
        .isEqualTo(200);
    assertThat(post("failure-domains/fd-z/drain", baseVersionBody(baseVersion + 2)).status())
        .isEqualTo(404);
    assertThat(post("failure-domains/fd-a/drain", "{\"baseversion\":3}").field())
        .isEqualTo("baseVersion");
  }

  /** Guards against jobs that are accepted above the admission rate of their team. */
  @Test
  void requestsAboveTheAdmissionRateAreAnsweredAsNotRun() throws Exception {
    cell.putManifest(HttpTestCell.manifest(baseVersion + 1, 0));
    awaitVersion(baseVersion + 1);
    String body = "{\"requestKey\":\"r1\",\"workloadClass\":\"service\",\"repeatable\":true}";
    Answer a = cell.submit(HttpTestCell.TEAM_B, body);
    assertThat(a.status() + a.error()).as(a.toString()).isEqualTo("429not_run");
    assertThat(cell.call(HttpMethod.GET, "/v1/jobs/r1", HttpTestCell.TEAM_B, "").status())
        .isEqualTo(404);
  }

  /** Guards against a team key that is still accepted after it was removed from the manifest. */
  @Test
  void withdrawnKeyStopsWorking() throws Exception {
    assertThat(cell.call(HttpMethod.GET, "/v1/jobs/j", HttpTestCell.TEAM_B, "").status())
        .isEqualTo(404);
    cell.putManifest(
        HttpTestCell.manifest(baseVersion + 1, 1).replace("\"id\":\"kb\"", "\"id\":\"kc\""));
    awaitVersion(baseVersion + 1);
    assertThat(cell.call(HttpMethod.GET, "/v1/jobs/j", HttpTestCell.TEAM_B, "").status())
        .isEqualTo(401);
  }

  /** Guards against a status response without the instances, partition owners or workers. */
  @Test
  void statusShowsInstancesPartitionsAndWorkers() throws IOException {
    Answer a = get("status");
    assertThat(a.body().path("instances")).hasSize(1);
    assertThat(a.body().path("partitions").get(0).path("ownerLive").asBoolean()).isTrue();
    assertThat(a.body().path("failureDomains").get(0).path("workers").asInt()).isEqualTo(4);
    assertThat(a.body().path("manifest").path("author").asText()).isEqualTo("anna");
  }
}
