package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpMethod;
import org.junit.jupiter.api.Test;

/** Tests that the log has no secrets and no request data. */
class LogPrivacyTest {

  private static final String SECRET = "marker-secret-7c1";
  private static final String PAYLOAD = "marker-payload-9f4";

  // Guards against API keys, operator secrets and request bodies that are logged at any level, for
  // example in the error for a malformed request.
  @Test
  void keysAndBodiesAreNeverLogged() throws Exception {
    try (CapturedLog lines = new CapturedLog()) {
      try (TestCell cell = TestCell.ready(1, 12)) {
        assertThat(cell.submit(0, "r1", "run=1 " + PAYLOAD).status().code()).isEqualTo(200);
        cell.call(0, HttpMethod.POST, "/v1/jobs", "puht." + SECRET, "{\"queue\":\"\"}");
        cell.call(0, HttpMethod.POST, "/v1/jobs", SECRET, "{}");
        cell.call(0, HttpMethod.POST, "/v1/jobs", TestCell.KEY, "{\"" + PAYLOAD);
        cell.call(
            0, HttpMethod.POST, "/v1/jobs", TestCell.KEY, "{\"queue\":\"\",\"" + PAYLOAD + "\":1}");
        cell.call(0, HttpMethod.PUT, "/v1/operator/manifest", "operator." + SECRET, PAYLOAD);
        cell.call(0, HttpMethod.PUT, "/v1/operator/manifest", TestCell.OPERATOR, PAYLOAD);
      }
      assertThat(lines.count("DP4003")).isEqualTo(1);
      assertThat(lines.all()).hasSizeGreaterThan(5);
      String operatorSecret = TestCell.OPERATOR.substring(TestCell.OPERATOR.indexOf('.') + 1);
      String teamSecret = TestCell.KEY.substring(TestCell.KEY.indexOf('.') + 1);
      for (String l : lines.all()) {
        assertThat(l).doesNotContain(SECRET, PAYLOAD, operatorSecret, teamSecret);
      }
    }
  }
}
