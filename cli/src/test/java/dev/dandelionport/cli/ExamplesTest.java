package dev.dandelionport.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.SpecVersion;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.ManifestReader;
import dev.dandelionport.node.process.Settings;
import dev.dandelionport.node.process.SettingsReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class ExamplesTest {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();
  private static final JsonSchema MANIFEST = schema("manifest");
  private static final JsonSchema SETTINGS = schema("settings");

  private static JsonSchema schema(String name) {
    try {
      String text = Files.readString(ROOT.resolve("docs/schema/" + name + ".schema.json"));
      return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(text);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<Path> examples(String prefix) throws IOException {
    try (Stream<Path> files = Files.walk(ROOT.resolve("examples"))) {
      return files
          .filter(p -> p.getFileName().toString().startsWith(prefix))
          .filter(p -> !p.endsWith("quickstart/settings.json"))
          .sorted()
          .toList();
    }
  }

  static List<Path> manifests() throws IOException {
    return examples("manifest");
  }

  static List<Path> settings() throws IOException {
    return examples("settings");
  }

  /** Guards against manifest examples that the reader or the schema rejects. */
  @ParameterizedTest
  @MethodSource("manifests")
  void manifestExamplesAreAcceptedByReaderAndSchema(Path file) throws IOException {
    byte[] json = Files.readAllBytes(file);
    assertThat(MANIFEST.validate(JSON.readTree(json))).isEmpty();
    assertThat(ManifestReader.read(json).problems()).isEmpty();
  }

  /**
   * Guards against settings examples that the reader or the schema rejects, or that do not match
   * the manifest next to them.
   */
  @ParameterizedTest
  @MethodSource("settings")
  void settingsExamplesAreAcceptedByReaderAndSchema(Path file) throws IOException {
    assertThat(SETTINGS.validate(JSON.readTree(Files.readAllBytes(file)))).isEmpty();
    Settings s = SettingsReader.read(file);
    Path manifest = file.resolveSibling("manifest.json");
    Manifest m = ManifestReader.read(Files.readAllBytes(manifest)).manifest().orElseThrow();
    assertThat(m.cell()).isEqualTo(s.cell());
    assertThat(m.inService(s.failureDomain())).isTrue();
  }

  /**
   * Guards against an example of TLS settings that the reader rejects, and against a schema that
   * accepts a certificate without its private key.
   */
  @Test
  void encryptedSettingsExampleIsAcceptedWhereItsFilesExist() throws IOException {
    String tls = ROOT.resolve("node/src/test/resources/tls").toString();
    String json =
        Files.readString(ROOT.resolve("examples/brightwell/tls-settings.json"))
            .replace("/etc/dandelionport/tls/cell-ca", tls + "/service-ca")
            .replace("/etc/dandelionport/tls/platform-ca", tls + "/service-ca")
            .replace("/etc/dandelionport/tls/entry", tls + "/service");
    assertThat(SETTINGS.validate(JSON.readTree(json))).isEmpty();
    Settings s = SettingsReader.read(json.getBytes(StandardCharsets.UTF_8), "example");
    assertThat(s.platformTls().workers()).isPresent();
    String noKey = json.replaceAll("\"privateKey\": \"[^\"]*\",", "");
    assertThat(SETTINGS.validate(JSON.readTree(noKey))).isNotEmpty();
  }

  /** Guards against examples that differ from the deployments in section 1 of docs/design.md. */
  @ParameterizedTest
  @CsvSource({"puhtkaart, 3", "brightwell, 4"})
  void exampleDeploymentsHaveTheirDocumentedSize(String name, int domains) throws IOException {
    Path file = ROOT.resolve("examples/" + name + "/manifest.json");
    Manifest m = ManifestReader.read(Files.readAllBytes(file)).manifest().orElseThrow();
    assertThat(m.failureDomains()).hasSize(domains);
    assertThat(m.clientAccounts()).hasSize(6);
    assertThat(m.regions()).hasSize(1);
  }

  /** Guards against a schema that accepts invalid values which the reader rejects. */
  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"share\": 6|\"share\": 0",
        "\"limit\": 160|\"limit\": -1",
        "\"limit\": 160|\"limit\": 160.5",
        "\"partitions\": 1|\"partitions\": 65",
        "\"drainMode\": \"finish\"|\"drainMode\": \"wait\"",
        "\"headroomPercent\": 5|\"headroomPercent\": 101",
        "\"id\": \"canteens\"|\"id\": \"Canteens\"",
        "\"inService\": true|\"inservice\": true",
        "\"defaultClass\": \"urgent\"|\"open\": true"
      })
  void schemaAndReaderRejectTheSameManifests(String from, String to) throws IOException {
    String good = Files.readString(ROOT.resolve("examples/puhtkaart/manifest.json"));
    assertThat(good).contains(from);
    String bad = good.replaceFirst(Pattern.quote(from), to);
    assertThat(MANIFEST.validate(JSON.readTree(bad))).isNotEmpty();
    assertThat(ManifestReader.read(bad.getBytes(StandardCharsets.UTF_8)).problems()).isNotEmpty();
  }

  /** Guards against a stored form of the manifest that does not match the published schema. */
  @Test
  void storedManifestMatchesTheSchema() throws IOException {
    byte[] json = Files.readAllBytes(ROOT.resolve("examples/brightwell/manifest.json"));
    Manifest m = ManifestReader.read(json).manifest().orElseThrow();
    JsonNode stored = JSON.readTree(JsonCodec.encode(m));
    assertThat(MANIFEST.validate(stored)).isEmpty();
  }
}
