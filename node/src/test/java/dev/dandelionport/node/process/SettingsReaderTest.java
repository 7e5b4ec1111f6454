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

  private static final String VALID =
      """
      {"cell": "c1", "instance": "entry-1", "region": "r1", "failureDomain": "fd-a",
       "host": "10.0.0.1", "callerPort": 8080, "peerPort": 8081,
       "storeUrl": "http://10.0.0.2:2379", "instanceListUrl": "http://[fd00::1]:8500",
       "operatorKeys": [{"id": "anna", "salt": "0011223344556677", "hash": "HASH"}],
       "limits": {"bodyBytes": 4096}}
      """
          .replace("HASH", "ab".repeat(32));

  private static final String TLS_FOLDER = "src/test/resources/tls/";

  private static Settings read(String json) {
    return SettingsReader.read(json.getBytes(StandardCharsets.UTF_8), "test");
  }

  private static List<String> errorPaths(String json) {
    SettingsException e = catchThrowableOfType(SettingsException.class, () -> read(json));
    return e.problems().stream().map(JsonProblem::path).toList();
  }

  /** Guards against valid settings that are rejected or parsed incorrectly. */
  @Test
  void readsEveryField() {
    Settings s = read(VALID);
    assertThat(s.limits().bodyBytes()).isEqualTo(4_096);
    assertThat(s.operatorKeys()).hasSize(1);
    assertThat(s.tls()).isEmpty();
  }

  /** Guards against validation that stops at the first error, so that each start shows only one. */
  @Test
  void reportsAllErrorsAtOnceWithTheirPaths() {
    String invalid =
        VALID
            .replace("\"10.0.0.1\"", "\"localhost\"")
            .replace("8080", "80800")
            .replace("http://10.0.0.2:2379", "http://store:2379")
            .replace("http://[fd00::1]:8500", "http://10.0.0.1")
            .replace("\"bodyBytes\"", "\"bodyByte\"")
            .replace("\"salt\": \"00", "\"salt\": \"")
            .replace("\"cell\": \"c1\"", "\"cell\": \"c1\", \"tls\": {\"certificate\": \"/none\"}");
    assertThat(errorPaths(invalid))
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
    assertThat(errorPaths(VALID.replace("8081", "8080"))).containsExactly("$.peerPort");
    assertThat(errorPaths(VALID.replace("\"10.0.0.1\"", "\"0.0.0.0\""))).containsExactly("$.host");
  }

  private static String withTls(String storeUrl, String tls) {
    return VALID
        .replace("http://10.0.0.2:2379", storeUrl)
        .replace(
            "\"cell\": \"c1\"",
            "\"cell\": \"c1\", \"platformTls\": {\"store\": {"
                + tls.replace("@", TLS_FOLDER)
                + "}}");
  }

  private static String keyPair(String certificate, String key) {
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
    Settings s = read(withTls(https, keyPair("service.pem", "service.key")));
    assertThat(s.platformTls().store()).isPresent();
    assertThat(s.platformTls().workers()).isEmpty();
    String ca = "\"trustedCertificates\": \"@service-ca.pem\"";
    assertThat(read(withTls(https, ca)).platformTls().store().orElseThrow().certificate())
        .isEmpty();

    String storePath = "$.platformTls.store.";
    assertThat(errorPaths(withTls("http://10.0.0.2:2379", ca))).containsExactly("$.storeUrl");
    assertThat(errorPaths(withTls(https, keyPair("service-expired.pem", "service-expired.key"))))
        .containsExactly(storePath + "certificate");
    assertThat(errorPaths(withTls(https, keyPair("service.pem", "service-new.key"))))
        .containsExactly(storePath + "certificate");
    assertThat(errorPaths(withTls(https, keyPair("service.key", "service.pem"))))
        .containsExactly(storePath + "certificate");
    assertThat(errorPaths(withTls(https, "\"certificate\": \"@service.pem\", " + ca)))
        .containsExactly(storePath + "privateKey");
    assertThat(errorPaths(withTls(https, ca.replace("-ca.pem", ".key"))))
        .containsExactly(storePath + "trustedCertificates");
    assertThat(errorPaths(withTls(https, ca + ", \"x\": 1"))).containsExactly(storePath + "x");
  }

  /** Guards against damaged settings that cause another exception than SettingsException. */
  @Test
  void damagedInputFailsOnlyWithSettingsException() {
    Random random = new Random(7);
    byte[] good = VALID.getBytes(StandardCharsets.UTF_8);
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
