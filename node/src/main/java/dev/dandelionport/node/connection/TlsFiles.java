package dev.dandelionport.node.connection;

import com.linecorp.armeria.common.TlsKeyPair;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.Signature;
import java.security.cert.Certificate;
import java.security.cert.CertificateException;
import java.security.cert.CertificateFactory;
import java.security.cert.X509Certificate;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * PEM files of one side of a TLS connection. They are reloaded when they change, so that
 * certificates can be renewed without a restart.
 *
 * @param certificateChain own certificate, followed by intermediate certificates; null for none
 * @param privateKey own private key, unencrypted PKCS #8; null if there is no certificate
 * @param trusted certificates of the authorities trusted to issue the other side's certificate
 */
public record TlsFiles(Path certificateChain, Path privateKey, Path trusted) {

  private static final byte[] SIGNATURE_TEST_DATA = {1, 2, 3, 4};

  /** Checks that the certificate and its private key are either both present or both absent. */
  public TlsFiles {
    if ((certificateChain == null) != (privateKey == null)) {
      throw new IllegalArgumentException("a certificate needs its private key");
    }
  }

  /** Returns whether this side presents a certificate. */
  public boolean hasCertificate() {
    return certificateChain != null;
  }

  /** Returns the modification times of the files; throws if one is missing. */
  List<FileTime> modificationTimes() throws IOException {
    List<FileTime> times = new ArrayList<>();
    for (Path p :
        Stream.of(certificateChain, privateKey, trusted).filter(x -> x != null).toList()) {
      times.add(Files.getLastModifiedTime(p));
    }
    return times;
  }

  /** Returns the reason why a certificate and its key are unusable at {@code now}, if any. */
  public static Optional<String> keyPairProblem(Path chain, Path key, Instant now) {
    TlsKeyPair pair;
    try {
      pair = TlsKeyPair.of(key.toFile(), chain.toFile());
    } catch (RuntimeException e) {
      return Optional.of("must be a PEM certificate with its PKCS #8 private key; " + cause(e));
    }
    X509Certificate own = pair.certificateChain().get(0);
    if (own.getNotAfter().toInstant().isBefore(now)) {
      return Optional.of("has expired at " + own.getNotAfter().toInstant());
    }
    return keyPairMatches(pair)
        ? Optional.empty()
        : Optional.of("does not belong to the private key");
  }

  /** Returns the reason why a file is unusable as a list of authorities, if any. */
  public static Optional<String> trustedProblem(Path file) {
    try (InputStream in = Files.newInputStream(file)) {
      Collection<? extends Certificate> all =
          CertificateFactory.getInstance("X.509").generateCertificates(in);
      return all.isEmpty() ? Optional.of("has no certificate") : Optional.empty();
    } catch (IOException | CertificateException e) {
      return Optional.of("must have PEM certificates; " + cause(e));
    }
  }

  /** Returns whether the certificate belongs to the private key. */
  static boolean keyPairMatches(TlsKeyPair pair) {
    try {
      return matches(pair.privateKey(), pair.certificateChain().get(0));
    } catch (GeneralSecurityException e) {
      return false;
    }
  }

  private static boolean matches(PrivateKey key, X509Certificate certificate)
      throws GeneralSecurityException {
    String name =
        switch (key.getAlgorithm()) {
          case "RSA" -> "SHA256withRSA";
          case "EC" -> "SHA256withECDSA";
          default -> key.getAlgorithm();
        };
    Signature s = Signature.getInstance(name);
    s.initSign(key);
    s.update(SIGNATURE_TEST_DATA);
    byte[] signature = s.sign();
    s.initVerify(certificate.getPublicKey());
    s.update(SIGNATURE_TEST_DATA);
    return s.verify(signature);
  }

  private static String cause(Exception e) {
    return e.getCause() == null ? e.getMessage() : e.getCause().getMessage();
  }
}
