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
 * PEM files of one side of a TLS connection. They are read again when they change, so that
 * certificates can be renewed without a restart.
 *
 * @param certificateChain own certificate, followed by intermediate ones; null for none
 * @param privateKey own private key, PKCS #8 without password; null if there is no certificate
 * @param trusted certificates of the authorities that the other side's certificate must come from
 */
public record TlsFiles(Path certificateChain, Path privateKey, Path trusted) {

  private static final byte[] SIGNATURE_TEST_DATA = {1, 2, 3, 4};

  /** Checks that a certificate comes with its key. */
  public TlsFiles {
    if ((certificateChain == null) != (privateKey == null)) {
      throw new IllegalArgumentException("a certificate needs its private key");
    }
  }

  /** Returns whether this side shows a certificate. */
  public boolean hasCertificate() {
    return certificateChain != null;
  }

  /** Returns when the files were last modified; fails if one cannot be read. */
  List<FileTime> modificationTimes() throws IOException {
    List<FileTime> times = new ArrayList<>();
    for (Path p :
        Stream.of(certificateChain, privateKey, trusted).filter(x -> x != null).toList()) {
      times.add(Files.getLastModifiedTime(p));
    }
    return times;
  }

  /** Returns why a certificate and its private key cannot be used at {@code now}, if so. */
  public static Optional<String> keyPairFault(Path chain, Path key, Instant now) {
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

  /** Returns why a file cannot be used as list of authorities, if so. */
  public static Optional<String> trustedFault(Path file) {
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
