package dev.dandelionport.cli;

import dev.dandelionport.node.connection.TlsFiles;
import io.netty.handler.ssl.JdkSslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import java.io.File;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Optional;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLException;

/** Builds the TLS context of the commands from the PEM files given as options. */
final class ClientTls {

  private ClientTls() {}

  /**
   * Returns the TLS context for {@code https://} connections.
   *
   * @param caFile certificate authorities to trust, or null for those of the Java runtime
   * @param certificateFile client certificate, or null for none
   * @param keyFile private key of the client certificate, or null for none
   * @return the context, or null if no file is given
   */
  static SSLContext context(String caFile, String certificateFile, String keyFile) {
    if ((certificateFile == null) != (keyFile == null)) {
      throw new CommandException(
          ExitStatus.USAGE,
          "a client certificate needs --certificate-file and" + " --certificate-key-file");
    }
    if (caFile == null && certificateFile == null) {
      return null;
    }
    SslContextBuilder b = SslContextBuilder.forClient().sslProvider(SslProvider.JDK);
    if (caFile != null) {
      throwIfInvalid(caFile, TlsFiles.trustedProblem(Path.of(caFile)));
      b.trustManager(new File(caFile));
    }
    if (certificateFile != null) {
      Path key = Path.of(keyFile);
      throwIfInvalid(
          certificateFile, TlsFiles.keyPairProblem(Path.of(certificateFile), key, Instant.now()));
      b.keyManager(new File(certificateFile), key.toFile());
    }
    try {
      return ((JdkSslContext) b.build()).context();
    } catch (SSLException | IllegalArgumentException e) {
      throw new CommandException(ExitStatus.USAGE, "cannot use the TLS files: " + e.getMessage());
    }
  }

  private static void throwIfInvalid(String file, Optional<String> problem) {
    problem.ifPresent(
        f -> {
          throw new CommandException(ExitStatus.USAGE, "file " + file + " " + f);
        });
  }
}
