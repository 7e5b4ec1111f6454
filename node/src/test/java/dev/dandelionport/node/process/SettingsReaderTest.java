package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import dev.dandelionport.core.common.JsonProblem;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the parsing and validation of settings. */
class SettingsReaderTest {

  private static final String GOOD =
      """
      {"cell": "c1", "instance": "entry-1", "region": "r1", "failureDomain": "fd-a",
       "host": "10.0.0.1", "callerPort": 8080, "peerPort": 8081,
       "storeUrl": "http://10.0.0.2:2379", "instanceListUrl": "http://[fd00::1]:8500",
       "operatorKeys": [{"id": "anna", "salt": "0011223344556677", "hash": "HASH"}],
       "limits": {"bodyBytes": 4096}}
      """
          .replace("HASH", "ab".repeat(32));

  private static final String TLS = "src/test/resources/tls/";

  private static Settings read(String json) {
    return SettingsReader.read(json.getBytes(StandardCharsets.UTF_8), "test");
  }

  private static List<String> paths(String json) {
    SettingsException e = catchThrowableOfType(SettingsException.class, () -> read(json));
    return e.problems().stream().map(JsonProblem::path).toList();
  }

  /** Guards against valid settings that are rejected or parsed incorrectly. */
  @Test
  void readsEveryField() {
    Settings s = read(GOOD);
    assertThat(s.limits().bodyBytes()).isEqualTo(4_096);
    assertThat(s.operatorKeys()).hasSize(1);
    assertThat(s.tls()).isEmpty();
  }

  /** Guards against validation that stops at the first error, so that each start shows only one. */
  @Test
  void reportsAllFaultsAtOnceWithTheirPaths() {
    String bad =
        GOOD.replace("\"10.0.0.1\"", "\"localhost\"")
            .replace("8080", "80800")
            .replace("http://10.0.0.2:2379", "http://store:2379")
            .replace("http://[fd00::1]:8500", "http://10.0.0.1")
            .replace("\"bodyBytes\"", "\"bodyByte\"")
            .replace("\"salt\": \"00", "\"salt\": \"")
            .replace("\"cell\": \"c1\"", "\"cell\": \"c1\", \"tls\": {\"certificate\": \"/none\"}");
    assertThat(paths(bad))
        .containsExactlyInAnyOrder(
            "$.host",
            "$.callerPort",
            "$.storeUrl",
            "$.instanceListUrl",
            "$.limits.bodyByte",
            "$.operatorKeys[0].salt",
            "$.tls.certificate",
            "$.tls.privateKey",
            "$.tls.trustedCertificates");
    assertThat(paths(GOOD.replace("8081", "8080"))).containsExactly("$.peerPort");
    assertThat(paths(GOOD.replace("\"10.0.0.1\"", "\"0.0.0.0\""))).containsExactly("$.host");
  }

  private static String withTls(String storeUrl, String tls) {
    return GOOD.replace("http://10.0.0.2:2379", storeUrl)
        .replace(
            "\"cell\": \"c1\"",
            "\"cell\": \"c1\", \"platformTls\": {\"store\": {" + tls.replace("@", TLS) + "}}");
  }

  private static String pair(String certificate, String key) {
    return "\"certificate\": \"@%s\", \"privateKey\": \"@%s\","
        .formatted(certificate, key)
        .concat("\"trustedCertificates\": \"@service-ca.pem\"");
  }

  /**
   * Guards against invalid TLS files that are only detected when the first connection is opened.
   */
  @Test
  void tlsFilesAreCheckedAtStart() {
    String https = "https://10.0.0.2:2379";
    Settings s = read(withTls(https, pair("service.pem", "service.key")));
    assertThat(s.platformTls().store()).isPresent();
    assertThat(s.platformTls().workers()).isEmpty();
    String ca = "\"trustedCertificates\": \"@service-ca.pem\"";
    assertThat(read(withTls(https, ca)).platformTls().store().orElseThrow().certificate())
        .isEmpty();

    String at = "$.platformTls.store.";
    assertThat(paths(withTls("http://10.0.0.2:2379", ca))).containsExactly("$.storeUrl");
    assertThat(paths(withTls(https, pair("service-expired.pem", "service-expired.key"))))
        .containsExactly(at + "certificate");
    assertThat(paths(withTls(https, pair("service.pem", "service-new.key"))))
        .containsExactly(at + "certificate");
    assertThat(paths(withTls(https, pair("service.key", "service.pem"))))
        .containsExactly(at + "certificate");
    assertThat(paths(withTls(https, "\"certificate\": \"@service.pem\", " + ca)))
        .containsExactly(at + "privateKey");
    assertThat(paths(withTls(https, ca.replace("-ca.pem", ".key"))))
        .containsExactly(at + "trustedCertificates");
    assertThat(paths(withTls(https, ca + ", \"x\": 1"))).containsExactly(at + "x");
  }

  /** Guards against damaged settings that cause another exception than SettingsException. */
  @Test
  void damagedInputFailsOnlyWithSettingsException() {
    Random random = new Random(7);
    byte[] good = GOOD.getBytes(StandardCharsets.UTF_8);
    for (int n = 0; n < 20_000; n++) {
      byte[] bytes = good.clone();
      for (int k = random.nextInt(4); k >= 0; k--) {
        bytes[random.nextInt(bytes.length)] = (byte) random.nextInt(256);
      }
      try {
        assertThat(SettingsReader.read(bytes, "test")).isNotNull();
      } catch (SettingsException e) {
        assertThat(e.problems()).isNotEmpty();
      }
    }
  }
}
