package dev.dandelionport.node.process;

import com.google.common.net.InetAddresses;
import dev.dandelionport.core.common.JsonFields;
import dev.dandelionport.core.common.JsonProblem;
import dev.dandelionport.core.common.JsonProblems;
import dev.dandelionport.node.connection.TlsFiles;
import dev.dandelionport.node.process.Settings.OperatorKey;
import dev.dandelionport.node.process.Settings.PlatformTls;
import dev.dandelionport.node.process.Settings.Tls;
import dev.dandelionport.node.process.Settings.Traces;
import dev.dandelionport.node.request.RequestLimits;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;

/**
 * Reads settings from JSON and reports all errors at once. Addresses must be IP addresses: host
 * names would need DNS lookups, and the system must work while DNS is unavailable.
 */
public final class SettingsReader {

  private static final long MAX_BYTES = 1 << 20;
  private static final int MAX_PORT = 65_535;
  private static final int MAX_OPERATORS = 256;
  private static final String ID_RULE = "1 to 63 characters of [a-z0-9-]";
  private static final Predicate<String> ID = Pattern.compile("[a-z0-9-]{1,63}").asMatchPredicate();
  private static final Predicate<String> SALT =
      Pattern.compile("([0-9a-f]{2}){8,32}").asMatchPredicate();
  private static final Predicate<String> HASH = Pattern.compile("[0-9a-f]{64}").asMatchPredicate();

  private SettingsReader() {}

  /** Reads the settings in {@code file}; fails with {@link SettingsException}. */
  public static Settings read(Path file) {
    try {
      if (Files.size(file) > MAX_BYTES) {
        JsonProblem p = new JsonProblem("$", "must have at most " + MAX_BYTES + " bytes");
        throw new SettingsException(file.toString(), List.of(p));
      }
      return read(Files.readAllBytes(file), file.toString());
    } catch (IOException e) {
      throw new SettingsException("cannot read settings " + file + ": " + e, e);
    }
  }

  /**
   * Reads settings from JSON; fails with {@link SettingsException}, whose message has {@code
   * source}.
   */
  public static Settings read(byte[] json, String source) {
    JsonProblems problems = new JsonProblems();
    Optional<Settings> s = problems.parse(json).map(SettingsReader::settings);
    if (!problems.list().isEmpty()) {
      throw new SettingsException(source, problems.list());
    }
    return s.orElseThrow();
  }

  private static Settings settings(JsonFields f) {
    Settings s =
        new Settings(
            id(f, "cell"),
            id(f, "instance"),
            id(f, "region"),
            id(f, "failureDomain"),
            f.text(
                "host",
                SettingsReader::isSpecificAddress,
                "an IP address such as 10.0.0.1, not a host name or 0.0.0.0"),
            (int) f.number("callerPort", 0, MAX_PORT),
            (int) f.number("peerPort", 0, MAX_PORT),
            url(f, "storeUrl"),
            url(f, "instanceListUrl"),
            operators(f),
            optionalTls(f, "tls", true),
            platformTls(f.object("platformTls")),
            limits(f.object("limits")),
            (int) f.number("frameBytes", (long) Settings.DEFAULT_FRAME_BYTES, 64 << 10, 1 << 20),
            traces(f.object("traces")));
    if (s.callerPort() != 0 && s.callerPort() == s.peerPort()) {
      f.addProblem("peerPort", "must differ from callerPort; both are " + s.peerPort());
    }
    requireHttps(f, s.platformTls().store(), s.storeUrl(), "storeUrl");
    requireHttps(f, s.platformTls().instanceList(), s.instanceListUrl(), "instanceListUrl");
    f.rejectUnknownFields();
    return s;
  }

  private static void requireHttps(JsonFields f, Optional<Tls> tls, String url, String name) {
    if (tls.isPresent() && !url.startsWith("https://")) {
      f.addProblem(name, "must begin with https:// if platformTls has files for it");
    }
  }

  private static String id(JsonFields f, String name) {
    return f.text(name, ID, ID_RULE);
  }

  private static String url(JsonFields f, String name) {
    return f.text(
        name,
        SettingsReader::isUrl,
        "a URL with an IP address and a port, such as http://10.0.0.1:2379");
  }

  private static List<OperatorKey> operators(JsonFields f) {
    List<OperatorKey> keys = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    for (JsonFields x : f.objects("operatorKeys", 0, MAX_OPERATORS)) {
      String id = id(x, "id");
      if (!id.isEmpty() && !ids.add(id)) {
        x.addProblem("id", "must be unique; " + id + " appears more than once");
      }
      String salt = x.text("salt", SALT, "16 to 64 lower-case hexadecimal digits, an even number");
      String hash = x.text("hash", HASH, "64 lower-case hexadecimal digits (SHA-256)");
      x.rejectUnknownFields();
      keys.add(new OperatorKey(id, salt, hash));
    }
    return keys;
  }

  private static PlatformTls platformTls(JsonFields f) {
    PlatformTls t =
        new PlatformTls(
            optionalTls(f, "store", false),
            optionalTls(f, "instanceList", false),
            optionalTls(f, "workers", false));
    f.rejectUnknownFields();
    return t;
  }

  private static Optional<Tls> optionalTls(JsonFields f, String name, boolean needsCertificate) {
    if (f.has(name)) {
      return Optional.of(tls(f.object(name), needsCertificate));
    }
    f.ignore(name);
    return Optional.empty();
  }

  private static Tls tls(JsonFields f, boolean needsCertificate) {
    boolean certificate = needsCertificate || f.has("certificate") || f.has("privateKey");
    Tls t =
        new Tls(
            certificate ? file(f, "certificate") : "",
            certificate ? file(f, "privateKey") : "",
            file(f, "trustedCertificates"));
    if (certificate && isReadable(t.certificate()) && isReadable(t.privateKey())) {
      Path chain = Path.of(t.certificate());
      TlsFiles.keyPairProblem(chain, Path.of(t.privateKey()), Instant.now())
          .ifPresent(m -> f.addProblem("certificate", m + "; found " + chain));
    }
    if (isReadable(t.trustedCertificates())) {
      TlsFiles.trustedProblem(Path.of(t.trustedCertificates()))
          .ifPresent(
              m -> f.addProblem("trustedCertificates", m + "; found " + t.trustedCertificates()));
    }
    f.ignore("certificate");
    f.ignore("privateKey");
    f.rejectUnknownFields();
    return t;
  }

  private static String file(JsonFields f, String name) {
    return f.text(name, SettingsReader::isReadable, "the path of a readable file");
  }

  private static RequestLimits limits(JsonFields f) {
    RequestLimits d = RequestLimits.DEFAULT;
    RequestLimits l =
        new RequestLimits(
            (int) f.number("bodyBytes", (long) d.bodyBytes(), 1_024, 512 << 10),
            (int) f.number("requestLineBytes", (long) d.requestLineBytes(), 512, 64 << 10),
            (int) f.number("headerBytes", (long) d.headerBytes(), 1_024, 64 << 10),
            (int) f.number("connections", (long) d.connections(), 1, 100_000),
            f.number("idleMillis", d.idleMillis(), 1_000, 3_600_000),
            f.number("receiveMillis", d.receiveMillis(), 100, 600_000),
            (int) f.number("pendingRequests", (long) d.pendingRequests(), 1, 100_000),
            (int) f.number("requestsPerClient", (long) d.requestsPerClient(), 1, 100_000),
            f.number("receivingBytes", d.receivingBytes(), 1 << 20, 1 << 30));
    f.rejectUnknownFields();
    return l;
  }

  private static Traces traces(JsonFields f) {
    Traces t = new Traces(f.bool("export", false), (int) f.number("samplingPercent", 100L, 0, 100));
    f.rejectUnknownFields();
    return t;
  }

  private static boolean isSpecificAddress(String s) {
    return InetAddresses.isInetAddress(s) && !InetAddresses.forString(s).isAnyLocalAddress();
  }

  private static boolean isUrl(String s) {
    try {
      URI u = new URI(s);
      boolean scheme = "http".equals(u.getScheme()) || "https".equals(u.getScheme());
      boolean withoutPathOrQuery =
          (u.getRawPath() == null || u.getRawPath().isEmpty() || u.getRawPath().equals("/"))
              && u.getRawQuery() == null
              && u.getRawFragment() == null
              && u.getRawUserInfo() == null;
      return scheme
          && withoutPathOrQuery
          && u.getHost() != null
          && InetAddresses.isUriInetAddress(u.getHost())
          && u.getPort() > 0
          && u.getPort() <= MAX_PORT;
    } catch (URISyntaxException e) {
      return false;
    }
  }

  private static boolean isReadable(String s) {
    try {
      return !s.isEmpty() && Files.isReadable(Path.of(s)) && Files.isRegularFile(Path.of(s));
    } catch (InvalidPathException e) {
      return false;
    }
  }
}
