package dev.dandelionport.node.request;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import dev.dandelionport.node.request.HttpTestCell.Answer;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Tests the callers' HTTP interface against a running instance. */
class JobServiceTest {

  private static final RequestLimits LIMITS =
      new RequestLimits(8 << 10, 2_048, 4_096, 100, 60_000, 700, 50, 50, 1 << 20);

  private static HttpTestCell cell;

  @BeforeAll
  static void start() throws Exception {
    cell = new HttpTestCell(LIMITS);
  }

  @AfterAll
  static void stop() {
    cell.close();
  }

  private static String jobJson(String key, String extraFields) {
    long deadline = System.currentTimeMillis() / 60_000 * 60_000 + 3_600_000;
    return "{\"requestKey\":\""
        + key
        + "\",\"workloadClass\":\"urgent\",\"deadlineMillis\":"
        + deadline
        + ",\"repeatable\":true,\"payload\":\"run=1\",\"waitMillis\":20000"
        + extraFields
        + "}";
  }

  private static void assertError(Answer a, int status, String error, String field) {
    assertThat(a.body().path("message").asText()).as(a.toString()).isNotEmpty();
    assertThat(a.body().path("mayRetry").isBoolean()).as(a.toString()).isTrue();
    assertThat(a.status() + " " + a.error() + " " + a.field())
        .as(a.toString())
        .isEqualTo(status + " " + error + " " + field);
  }

  /** Guards against a response to a finished job that lacks a field described in docs/API.md. */
  @Test
  void finishedJobIsAnsweredWithItsResult() throws IOException {
    Answer a = cell.submit(HttpTestCell.TEAM_A, jobJson("good-1", ""));
    assertThat(a.status()).as(a.toString()).isEqualTo(200);
    assertThat(a.body().path("state").asText()).isEqualTo("succeeded");
    assertThat(a.body().path("requestKey").asText()).isEqualTo("good-1");
    assertThat(a.body().path("results")).hasSize(1);
  }

  /**
   * Guards against error responses that do not say which field is invalid: callers could not
   * correct their request. An invalid request must not create a job either.
   */
  @Test
  void namesTheWrongFieldAndTheAllowedValues() throws IOException {
    assertError(cell.submit(HttpTestCell.TEAM_A, "{"), 400, "invalid_request", "");
    assertError(cell.submit(HttpTestCell.TEAM_A, "[]"), 400, "invalid_request", "");
    assertError(cell.submit(HttpTestCell.TEAM_A, jobJson("x1", "} ")), 400, "invalid_request", "");
    assertError(
        cell.submit(HttpTestCell.TEAM_A, jobJson("x2", ",\"gang\":true")),
        400,
        "invalid_request",
        "gang");
    assertError(
        cell.submit(HttpTestCell.TEAM_A, jobJson("x 3", "")), 400, "invalid_request", "requestKey");
    assertError(
        cell.submit(HttpTestCell.TEAM_A, jobJson("x4", ",\"tasks\":0")),
        400,
        "invalid_request",
        "tasks");
    assertError(
        cell.submit(HttpTestCell.TEAM_A, jobJson("x5", ",\"queue\":\"none\"")),
        400,
        "invalid_request",
        "queue");
    assertError(
        cell.submit(HttpTestCell.TEAM_B, jobJson("x6", ",\"queue\":\"own\"")),
        400,
        "invalid_request",
        "queue");
    Answer past =
        cell.submit(
            HttpTestCell.TEAM_A,
            jobJson("x7", "").replaceAll("\"deadlineMillis\":[0-9]+", "\"deadlineMillis\":5"));
    assertError(past, 400, "invalid_request", "deadlineMillis");
    Answer c = cell.submit(HttpTestCell.TEAM_A, jobJson("x8", "").replace("urgent", "quick"));
    assertError(c, 400, "invalid_request", "workloadClass");
    assertThat(c.body().path("message").asText()).contains("urgent, deferrable, service, gang");
    assertThat(cell.call(HttpMethod.GET, "/v1/jobs/x4", HttpTestCell.TEAM_A, "").status())
        .isEqualTo(404);
  }

  /**
   * Guards against a job that is accepted but waits forever because each task needs more than any
   * worker has, or because a gang has more tasks than the limit of its team.
   */
  @Test
  void refusesJobsThatNoWorkerCanRun() throws IOException {
    Answer a = cell.submit(HttpTestCell.TEAM_A, jobJson("big-1", ",\"memoryMb\":131073"));
    assertError(a, 400, "invalid_request", "memoryMb");
    assertThat(a.body().path("message").asText()).contains("131072");
    String gang = jobJson("big-2", ",\"tasks\":9").replace("urgent", "gang");
    assertError(cell.submit(HttpTestCell.TEAM_A, gang), 400, "invalid_request", "tasks");
  }

  /**
   * Guards against leaking which key ids or jobs exist: responses to unknown ids and wrong secrets
   * must be equal, and so must those to unknown jobs and jobs of other teams.
   */
  @Test
  void unknownAndWrongKeysGetTheSameAnswer() throws IOException {
    Answer wrong = cell.submit("ka.wrong", jobJson("k1", ""));
    assertError(wrong, 401, "unauthorized", "Authorization");
    assertThat(cell.submit("nobody.secret-a", jobJson("k1", ""))).isEqualTo(wrong);
    assertThat(cell.submit("secret-a", jobJson("k1", ""))).isEqualTo(wrong);
    assertThat(cell.submit("", jobJson("k1", ""))).isEqualTo(wrong);
    cell.submit(HttpTestCell.TEAM_A, jobJson("k2", ""));
    Answer other = cell.call(HttpMethod.GET, "/v1/jobs/k2", HttpTestCell.TEAM_B, "");
    assertError(other, 404, "not_found", "");
    assertThat(cell.call(HttpMethod.DELETE, "/v1/jobs/k2", HttpTestCell.TEAM_B, ""))
        .isEqualTo(other);
    assertThat(cell.call(HttpMethod.GET, "/v1/jobs/none", HttpTestCell.TEAM_B, ""))
        .isEqualTo(other);
  }

  /**
   * Guards against a retry that conflicts only because its JSON is formatted differently, and
   * against a request with other contents that is treated as a retry.
   */
  @Test
  void sameKeyWithOtherContentsConflicts() throws IOException {
    String first = jobJson("same-1", "");
    assertThat(cell.submit(HttpTestCell.TEAM_A, first).status()).isEqualTo(200);
    String reordered =
        first
            .replace("{\"requestKey\":\"same-1\",", "{ ")
            .replace("20000}", "5, \"tasks\" : 1 , \"requestKey\":\"same-1\"}");
    assertThat(cell.submit(HttpTestCell.TEAM_A, reordered).status()).as(reordered).isEqualTo(200);
    assertError(
        cell.submit(HttpTestCell.TEAM_A, jobJson("same-1", ",\"tasks\":2")),
        409,
        "conflict",
        "requestKey");
  }

  /**
   * Guards against a retry after the deadline that is rejected although the job is known, so that
   * the caller could not get the result. A new job whose deadline has passed is still rejected.
   */
  @Test
  void retryAfterTheDeadlineGetsTheStateOfTheKnownJob() throws Exception {
    long allowance = 750;
    long deadline;
    String body;
    Answer first;
    // On a slow machine the job may miss its deadline; then try again with twice the time.
    do {
      allowance *= 2;
      deadline = System.currentTimeMillis() + allowance;
      body =
          jobJson("late-" + allowance, "")
              .replaceAll("\"deadlineMillis\":[0-9]+", "\"deadlineMillis\":" + deadline);
      first = cell.submit(HttpTestCell.TEAM_A, body);
    } while (first.status() != 200 && allowance < 60_000);
    assertThat(first.status()).as(first.toString()).isEqualTo(200);
    while (System.currentTimeMillis() <= deadline) {
      Thread.sleep(50);
    }
    Answer retry = cell.submit(HttpTestCell.TEAM_A, body);
    assertThat(retry.status()).as(retry.toString()).isEqualTo(200);
    assertThat(retry.body().path("state").asText()).isEqualTo("succeeded");
    Answer other = cell.submit(HttpTestCell.TEAM_A, body.replace("run=1", "run=2"));
    assertError(other, 409, "conflict", "requestKey");
    Answer unknown = cell.submit(HttpTestCell.TEAM_A, body.replace("late-", "unknown-"));
    assertError(unknown, 400, "invalid_request", "deadlineMillis");
  }

  /** Guards against a service that is rejected because it has no deadline. */
  @Test
  void servicesNeedNoDeadline() throws IOException {
    String service =
        "{\"requestKey\":\"svc-1\",\"workloadClass\":\"service\",\"repeatable\":true,"
            + "\"payload\":\"run=600000\"}";
    assertThat(cell.submit(HttpTestCell.TEAM_A, service).status()).isEqualTo(202);
    Answer cancelled = cell.call(HttpMethod.DELETE, "/v1/jobs/svc-1", HttpTestCell.TEAM_A, "");
    assertThat(cancelled.status()).as(cancelled.toString()).isLessThan(300);
  }

  /**
   * Guards against results of an open queue that callers can fetch without the token or the key of
   * the queue's team, and against results that cannot be fetched with them.
   */
  @Test
  void openQueueResultsNeedTheTokenOrTheTeamsKey() throws IOException {
    String body = jobJson("open-0123456789-abcdef", ",\"queue\":\"front\"");
    assertError(
        cell.submit("", jobJson("short", ",\"queue\":\"front\"")),
        400,
        "invalid_request",
        "requestKey");
    Answer a = cell.submit("", body);
    assertThat(a.status()).as(a.toString()).isEqualTo(200);
    String token = a.body().path("token").asText();
    assertThat(token).hasSize(64);
    String path = "/v1/jobs/open-0123456789-abcdef?queue=front";
    assertThat(cell.call(HttpMethod.GET, path, token, "").status()).isEqualTo(200);
    assertThat(cell.call(HttpMethod.GET, path, HttpTestCell.TEAM_A, "").status()).isEqualTo(200);
    assertThat(cell.call(HttpMethod.GET, path, HttpTestCell.TEAM_B, "").status()).isEqualTo(404);
    assertThat(cell.call(HttpMethod.GET, path, token.replace(token.charAt(0), 'x'), "").status())
        .isEqualTo(401);
    assertThat(cell.call(HttpMethod.GET, path, "", "").status()).isEqualTo(401);
    assertThat(cell.call(HttpMethod.GET, "/v1/jobs/open-0123456789-abcdef", token, "").status())
        .isEqualTo(401);
  }

  /** Guards against unknown or repeated query parameters and wrong methods that are ignored. */
  @Test
  void refusesUnknownParametersAndMethods() throws IOException {
    String path = "/v1/jobs/p1?";
    assertError(
        cell.call(HttpMethod.GET, path + "wait=5", HttpTestCell.TEAM_A, ""),
        400,
        "invalid_request",
        "wait");
    assertError(
        cell.call(HttpMethod.GET, path + "waitMillis=-1", HttpTestCell.TEAM_A, ""),
        400,
        "invalid_request",
        "waitMillis");
    assertError(
        cell.call(HttpMethod.GET, path + "waitMillis=1&waitMillis=2", HttpTestCell.TEAM_A, ""),
        400,
        "invalid_request",
        "waitMillis");
    assertError(
        cell.call(HttpMethod.PUT, "/v1/jobs/p1", HttpTestCell.TEAM_A, "{}"),
        405,
        "invalid_request",
        "");
    assertError(
        cell.call(HttpMethod.GET, "/v1/jobs", HttpTestCell.TEAM_A, ""), 405, "invalid_request", "");
    assertError(
        cell.call(HttpMethod.GET, "/v2/other", HttpTestCell.TEAM_A, ""), 404, "not_found", "");
  }

  /** Guards against request bodies, headers and request lines that exhaust the memory. */
  @Test
  void refusesLargeBodiesAndHeaders() throws IOException {
    String big = jobJson("large-1", ",\"x\":\"" + "y".repeat(9_000) + "\"");
    assertError(cell.submit(HttpTestCell.TEAM_A, big), 413, "too_large", "");
    assertError(
        cell.submit("ka." + "s".repeat(600), jobJson("large-2", "")),
        401,
        "unauthorized",
        "Authorization");
    String head =
        sendRaw("GET /v1/jobs/a HTTP/1.1\r\nHost: x\r\nX-Long: " + "z".repeat(5_000) + "\r\n\r\n");
    assertThat(head).startsWith("HTTP/1.1 431").contains("\"error\":\"too_large\"");
    String line = sendRaw("GET /v1/jobs/" + "z".repeat(3_000) + " HTTP/1.1\r\nHost: x\r\n\r\n");
    assertThat(line).startsWith("HTTP/1.1 414").contains("\"error\":\"too_large\"");
  }

  /**
   * Guards against clients that occupy connections by sending a request slowly or never ending it.
   */
  @Test
  void endsRequestsThatArriveTooSlowly() throws IOException {
    String r =
        sendRaw(
            "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                + HttpTestCell.TEAM_A
                + "\r\nContent-Length: 500\r\n\r\n{\"requestKey\"");
    assertThat(r).startsWith("HTTP/1.1 408").contains("\"error\":\"unknown\"", "\"mayRetry\":true");
  }

  private static String sendRaw(String request) throws IOException {
    try (Socket s = new Socket("127.0.0.1", cell.port())) {
      s.setSoTimeout(10_000);
      s.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      s.getOutputStream().flush();
      InputStream in = s.getInputStream();
      byte[] answer = new byte[4_096];
      int n = 0;
      for (int k = in.read(answer); k > 0; k = in.read(answer, n, answer.length - n)) {
        n += k;
        if (new String(answer, 0, n, StandardCharsets.UTF_8).contains("}")) {
          break;
        }
      }
      return new String(answer, 0, n, StandardCharsets.UTF_8);
    }
  }
}
