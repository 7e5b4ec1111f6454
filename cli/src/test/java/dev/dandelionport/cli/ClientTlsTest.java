package dev.dandelionport.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import io.netty.handler.ssl.ClientAuth;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the TLS connections of the commands to a local HTTPS server. */
@Timeout(60)
class ClientTlsTest {

  private static final Path TLS = Path.of("..", "node", "src", "test", "resources", "tls");

  private final AtomicInteger calls = new AtomicInteger();
  private Server server;

  @AfterEach
  void stop() {
    if (server != null) {
      server.stop().join();
    }
  }

  private void serve(String name, ClientAuth auth) {
    ServerBuilder b = Server.builder().https(new InetSocketAddress("127.0.0.1", 0));
    b.tls(TlsKeyPair.of(TLS.resolve(name + ".key").toFile(), TLS.resolve(name + ".pem").toFile()));
    b.tlsCustomizer(c -> c.trustManager(TLS.resolve("service-ca.pem").toFile()).clientAuth(auth));
    b.service(
        "/x",
        (c, r) -> {
          calls.incrementAndGet();
          return HttpResponse.of(MediaType.JSON, "{}");
        });
    server = b.build();
    server.start().join();
  }

  private int call(String authority, String certificate, String key) {
    return new ApiClient(
            List.of("https://127.0.0.1:" + server.activeLocalPort()),
            "",
            ClientTls.context(tlsFile(authority), tlsFile(certificate), tlsFile(key)))
        .get("/x")
        .code();
  }

  private static String tlsFile(String name) {
    return name == null ? null : TLS.resolve(name).toString();
  }

  private void assertRefused(String authority, String certificate, String key, String... hints) {
    int before = calls.get();
    CommandException e =
        catchThrowableOfType(CommandException.class, () -> call(authority, certificate, key));
    assertThat(e.status()).isEqualTo(ExitStatus.UNKNOWN);
    assertThat(e.getMessage()).contains(hints);
    assertThat(calls.get()).isEqualTo(before);
  }

  private static void assertUsageError(String authority, String certificate, String key) {
    CommandException e =
        catchThrowableOfType(
            CommandException.class,
            () -> ClientTls.context(tlsFile(authority), tlsFile(certificate), tlsFile(key)));
    assertThat(e.status()).isEqualTo(ExitStatus.USAGE);
  }

  /**
   * Guards against commands that cannot reach a cell whose certificates come from a private
   * authority, and against commands that accept certificates of any other authority.
   */
  @Test
  void commandsTrustOnlyTheConfiguredAuthority() {
    serve("service", ClientAuth.NONE);
    assertThat(call("service-ca.pem", null, null)).isEqualTo(200);
    assertRefused("other-ca.pem", null, null, "no secure connection", "--ca-file");
    assertRefused(null, null, null, "no secure connection", "--ca-file");
  }

  /** Guards against a server certificate that is accepted after its expiry. */
  @Test
  void expiredCertificateIsRefused() {
    serve("service-expired", ClientAuth.NONE);
    assertRefused("service-ca.pem", null, null, "no secure connection", "--ca-file");
  }

  /** Guards against calls that fail because the configured client certificate is not sent. */
  @Test
  void clientCertificateIsSentIfTheServerRequestsOne() {
    serve("service", ClientAuth.REQUIRE);
    assertThat(call("service-ca.pem", "service-new.pem", "service-new.key")).isEqualTo(200);
    assertRefused("service-ca.pem", null, null, "--certificate-file");
    assertRefused("service-ca.pem", "other.pem", "other.key", "--certificate-file");
  }

  /**
   * Guards against a stack trace, or a failure only during the handshake, when TLS files are
   * missing, expired, incomplete or do not belong together.
   */
  @Test
  void unusableFilesAreUsageErrors() {
    assertUsageError("none.pem", null, null);
    assertUsageError("service.key", null, null);
    assertUsageError("service-ca.pem", "service.pem", null);
    assertUsageError("service-ca.pem", "service.pem", "service-new.key");
    assertUsageError("service-ca.pem", "service-expired.pem", "service-expired.key");
  }

  /**
   * Guards against options that take keys as arguments, which every user of the machine can list.
   */
  @Test
  void noCommandTakesKeysAsArguments() throws Exception {
    assertThat(Main.run(new String[] {"load", "--entries", "http://127.0.0.1:1", "--keys", "a.b"}))
        .isEqualTo(ExitStatus.USAGE);
    assertThat(
            Main.run(
                new String[] {"load", "--entries", "http://127.0.0.1:1", "--key-file", "/none"}))
        .isEqualTo(ExitStatus.USAGE);
  }
}
