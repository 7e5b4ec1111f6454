package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.TlsKeyPair;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.common.ResourceVector;
import dev.dandelionport.core.common.WorkerId;
import dev.dandelionport.core.port.InstanceListException;
import dev.dandelionport.core.port.StoreUnavailableException;
import dev.dandelionport.core.port.WorkerException;
import dev.dandelionport.core.port.WorkerInfo;
import io.netty.handler.ssl.ClientAuth;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests TLS connections to the store, the instance list and workers. */
@Timeout(120)
class ServiceTlsTest {

  private static final Path TLS = Path.of("src/test/resources/tls");

  @TempDir private Path folder;
  private Server server;

  @AfterEach
  void stop() {
    server.stop().join();
  }

  private void serve(String name, ClientAuth auth) {
    ServerBuilder b = Server.builder().https(new InetSocketAddress("127.0.0.1", 0));
    b.tls(TlsKeyPair.of(file(name + ".key").toFile(), file(name + ".pem").toFile()));
    b.tlsCustomizer(c -> c.trustManager(file("service-ca.pem").toFile()).clientAuth(auth));
    b.service("/v3/kv/range", (c, r) -> json("{\"header\":{\"revision\":\"1\"}}"));
    b.service("/v1/workers", (c, r) -> json("[]"));
    b.service("/v1/stop", (c, r) -> json("{}"));
    server = b.build();
    server.start().join();
  }

  private static Path file(String name) {
    return TLS.resolve(name);
  }

  private static HttpResponse json(String s) {
    return HttpResponse.of(MediaType.JSON, s);
  }

  private static TlsFiles trusting(String authority) {
    return new TlsFiles(null, null, file(authority));
  }

  private CompletableFuture<?> store(TlsFiles files) {
    return new EtcdStore("https://127.0.0.1:" + server.activeLocalPort(), files).get("k");
  }

  private CompletableFuture<?> list(TlsFiles files) {
    return new HttpInstanceList("https://127.0.0.1:" + server.activeLocalPort(), files)
        .workers("r1");
  }

  private CompletableFuture<?> worker(TlsFiles files) {
    WorkerInfo w =
        new WorkerInfo(
            new WorkerId("w1"),
            "r1",
            "fd-a",
            "rack-1",
            "127.0.0.1",
            server.activeLocalPort(),
            ResourceVector.ZERO,
            false);
    return new HttpWorkerClient(files).stop(w, AttemptId.parse("a/b#0.1"), 1);
  }

  private void assertAllSucceed(TlsFiles files) {
    store(files).join();
    list(files).join();
    worker(files).join();
  }

  private void assertAllFail(TlsFiles files) {
    assertThatThrownBy(() -> store(files).join())
        .isInstanceOf(CompletionException.class)
        .hasCauseInstanceOf(StoreUnavailableException.class);
    assertThatThrownBy(() -> list(files).join()).hasCauseInstanceOf(InstanceListException.class);
    assertThatThrownBy(() -> worker(files).join()).hasCauseInstanceOf(WorkerException.class);
  }

  /** Guards against impersonation: a client must reject certificates of untrusted authorities. */
  @Test
  void onlyServicesOfTheTrustedAuthorityAreCalled() {
    serve("service", ClientAuth.NONE);
    assertAllSucceed(trusting("service-ca.pem"));
    assertAllFail(trusting("other-ca.pem"));
    assertAllFail(null);
  }

  /** Guards against a client that accepts an expired server certificate. */
  @Test
  void expiredCertificateIsRefused() {
    serve("service-expired", ClientAuth.NONE);
    assertAllFail(trusting("service-ca.pem"));
  }

  /** Guards against a client that has a certificate but does not present it to the service. */
  @Test
  void clientPresentsItsCertificateWhenTheServiceRequestsOne() {
    serve("service", ClientAuth.REQUIRE);
    Path ca = file("service-ca.pem");
    assertAllSucceed(new TlsFiles(file("service-new.pem"), file("service-new.key"), ca));
    assertAllFail(trusting("service-ca.pem"));
    assertAllFail(new TlsFiles(file("other.pem"), file("other.key"), ca));
    assertAllFail(new TlsFiles(file("service-expired.pem"), file("service-expired.key"), ca));
  }

  /** Guards against renewed certificates that take effect only after a restart. */
  @Test
  void replacedFilesAreUsedWithoutRestart() throws Exception {
    serve("service", ClientAuth.REQUIRE);
    TlsFiles clientFiles =
        new TlsFiles(folder.resolve("c.pem"), folder.resolve("c.key"), folder.resolve("ca.pem"));
    copy("other", "other-ca.pem", clientFiles);
    EtcdStore store = new EtcdStore("https://127.0.0.1:" + server.activeLocalPort(), clientFiles);
    assertThatThrownBy(() -> store.get("k").join())
        .hasCauseInstanceOf(StoreUnavailableException.class);
    Files.writeString(clientFiles.certificateChain(), "being written");
    assertThatThrownBy(() -> store.get("k").join())
        .hasCauseInstanceOf(StoreUnavailableException.class);
    copy("service-new", "service-ca.pem", clientFiles);
    // The files are checked once a second; only the timeout of the test bounds the retries.
    while (store.get("k").handle((v, e) -> e != null).join()) {
      Thread.sleep(50);
    }
    assertThat(store.get("k").join()).isEmpty();
  }

  private static void copy(String name, String authority, TlsFiles to) throws IOException {
    Files.write(to.certificateChain(), Files.readAllBytes(file(name + ".pem")));
    Files.write(to.privateKey(), Files.readAllBytes(file(name + ".key")));
    Files.write(to.trusted(), Files.readAllBytes(file(authority)));
  }
}
