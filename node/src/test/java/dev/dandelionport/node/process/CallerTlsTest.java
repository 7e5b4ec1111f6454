package dev.dandelionport.node.process;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import dev.dandelionport.node.request.RequestLimits;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.cert.X509Certificate;
import java.util.List;
import java.util.Optional;
import javax.net.ssl.SSLSocket;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the reloading of the caller port's certificate. */
@Timeout(60)
class CallerTlsTest {

  private static final Path TLS_FOLDER = Path.of("src/test/resources/tls");

  @TempDir private Path folder;
  private Server server;

  @BeforeEach
  void start() throws Exception {
    replace("service.pem", "c.pem");
    replace("service.key", "c.key");
    ServerBuilder sb = Server.builder().service("/", (c, r) -> HttpResponse.of(200));
    CallerServer.configure(sb, settings());
    server = sb.build();
    server.start().join();
  }

  @AfterEach
  void stop() {
    server.stop().join();
  }

  private Settings settings() {
    Settings s = TestCell.settings("entry-1", 1);
    Settings.Tls tls =
        new Settings.Tls(
            folder.resolve("c.pem").toString(),
            folder.resolve("c.key").toString(),
            TLS_FOLDER.resolve("service-ca.pem").toString());
    return new Settings(
        s.cell(),
        s.instance(),
        s.region(),
        s.failureDomain(),
        s.host(),
        0,
        0,
        s.storeUrl(),
        s.instanceListUrl(),
        List.of(),
        Optional.of(tls),
        Settings.PlatformTls.NONE,
        RequestLimits.DEFAULT,
        Settings.DEFAULT_FRAME_BYTES,
        Settings.Traces.NONE);
  }

  private void replace(String from, String to) throws Exception {
    Files.write(folder.resolve(to), Files.readAllBytes(TLS_FOLDER.resolve(from)));
  }

  /** Opens a connection and returns the subject name of the server's certificate. */
  private String servedCertificateName() throws Exception {
    JdkSslContext c =
        (JdkSslContext)
            SslContextBuilder.forClient()
                .sslProvider(SslProvider.JDK)
                .trustManager(TLS_FOLDER.resolve("service-ca.pem").toFile())
                .build();
    try (SSLSocket s =
        (SSLSocket)
            c.context().getSocketFactory().createSocket("127.0.0.1", server.activeLocalPort())) {
      s.startHandshake();
      X509Certificate own = (X509Certificate) s.getSession().getPeerCertificates()[0];
      return own.getSubjectX500Principal().getName();
    }
  }

  /**
   * Guards against a renewed certificate that needs a restart, and against one that is served while
   * its key is missing or does not match. While the files are unusable, the previous pair is
   * served.
   */
  @Test
  void renewedCertificateIsServedOnceItsKeyMatches() throws Exception {
    assertThat(servedCertificateName()).isEqualTo("CN=service");
    replace("service-new.pem", "c.pem");
    assertThat(servedCertificateName()).isEqualTo("CN=service");
    replace("service-new.key", "c.key");
    assertThat(servedCertificateName()).isEqualTo("CN=service after renewal");
    Files.writeString(folder.resolve("c.pem"), "damaged");
    assertThat(servedCertificateName()).isEqualTo("CN=service after renewal");
    Files.delete(folder.resolve("c.pem"));
    assertThat(servedCertificateName()).isEqualTo("CN=service after renewal");
    replace("service.pem", "c.pem");
    replace("service.key", "c.key");
    assertThat(servedCertificateName()).isEqualTo("CN=service");
  }
}
