package dev.dandelionport.node.connection;

import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.IOException;
import java.nio.file.attribute.FileTime;
import java.util.List;

/**
 * Mutual TLS between instances. Each side must present a certificate issued by the cell's
 * authority. Host names are not verified, because instances are addressed by IP address and may be
 * replaced at any time.
 */
final class PeerTls {

  private final TlsFiles files;
  private List<FileTime> readTimes = List.of();
  private SslContext client;
  private SslContext server;

  /** Creates the contexts; throws {@link TlsException} if the files cannot be read. */
  PeerTls(TlsFiles files) {
    this.files = files;
    load();
  }

  /** Returns the context for a connection that this instance opens. */
  synchronized SslContext client() {
    loadIfChanged();
    return client;
  }

  /** Returns the context for a connection that a peer opens. */
  synchronized SslContext server() {
    loadIfChanged();
    return server;
  }

  private void loadIfChanged() {
    try {
      if (!files.modificationTimes().equals(readTimes)) {
        load();
      }
    } catch (IOException | TlsException e) {
      // The files may be inconsistent while they are replaced; the previous ones stay in use.
      readTimes = List.of();
    }
  }

  private void load() {
    try {
      List<FileTime> now = files.modificationTimes();
      SslContext newServer =
          SslContextBuilder.forServer(
                  files.certificateChain().toFile(), files.privateKey().toFile())
              .sslProvider(SslProvider.JDK)
              .trustManager(files.trusted().toFile())
              .clientAuth(ClientAuth.REQUIRE)
              .build();
      client =
          SslContextBuilder.forClient()
              .sslProvider(SslProvider.JDK)
              .keyManager(files.certificateChain().toFile(), files.privateKey().toFile())
              .trustManager(files.trusted().toFile())
              .endpointIdentificationAlgorithm(null)
              .build();
      server = newServer;
      readTimes = now;
    } catch (IOException | IllegalArgumentException e) {
      throw new TlsException("cannot read TLS files " + files, e);
    }
  }
}
