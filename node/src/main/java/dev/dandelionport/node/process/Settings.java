package dev.dandelionport.node.process;

import dev.dandelionport.node.connection.TlsFiles;
import dev.dandelionport.node.request.RequestLimits;
import java.net.URI;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one instance, read from a JSON file with the schema docs/schema/settings.schema.json.
 *
 * @param cell name of the cell
 * @param instance name of the instance; each process appends its own suffix
 * @param region region of the instance
 * @param failureDomain failure domain of the instance
 * @param host IP address to listen on, which peers also connect to
 * @param callerPort port for callers and operators, 0 for any free one
 * @param peerPort port for peers, 0 for any free one
 * @param storeUrl URL of the store's JSON gateway
 * @param instanceListUrl URL of the instance list
 * @param operatorKeys hashes of the operators' keys
 * @param tls files for TLS connections; empty for plain connections
 * @param platformTls files for TLS connections to services of the platform
 * @param limits limits on the resources that callers can occupy
 * @param frameBytes largest frame between instances, in bytes
 * @param traces tracing settings
 */
public record Settings(
    String cell,
    String instance,
    String region,
    String failureDomain,
    String host,
    int callerPort,
    int peerPort,
    String storeUrl,
    String instanceListUrl,
    List<OperatorKey> operatorKeys,
    Optional<Tls> tls,
    PlatformTls platformTls,
    RequestLimits limits,
    int frameBytes,
    Traces traces) {

  /** Default for the largest frame between instances, in bytes. */
  public static final int DEFAULT_FRAME_BYTES = 1 << 20;

  /** Copies the list of operator keys; null becomes an empty list. */
  public Settings {
    operatorKeys = operatorKeys == null ? List.of() : List.copyOf(operatorKeys);
  }

  /** Creates settings without encryption and with default limits. */
  public Settings(
      String cell,
      String instance,
      String region,
      String failureDomain,
      String host,
      int callerPort,
      int peerPort,
      String storeUrl,
      String instanceListUrl,
      List<OperatorKey> operatorKeys) {
    this(
        cell,
        instance,
        region,
        failureDomain,
        host,
        callerPort,
        peerPort,
        storeUrl,
        instanceListUrl,
        operatorKeys,
        Optional.empty(),
        PlatformTls.NONE,
        RequestLimits.DEFAULT,
        DEFAULT_FRAME_BYTES,
        Traces.NONE);
  }

  /**
   * Tracing settings.
   *
   * @param export whether spans are written to standard output
   * @param samplingPercent percentage of the traces that is recorded, unless the caller's trace
   *     context has a sampling decision
   */
  public record Traces(boolean export, int samplingPercent) {
    /** Tracing disabled. */
    public static final Traces NONE = new Traces(false, 0);

    /** Returns the fraction of the traces that is recorded, from 0 to 1. */
    public double samplingRatio() {
      return samplingPercent / 100.0;
    }
  }

  /** Returns the settings to log, without keys and without credentials in URLs. */
  Map<String, Object> summary() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("cell", cell);
    m.put("instance", instance);
    m.put("region", region);
    m.put("failureDomain", failureDomain);
    m.put("host", host);
    m.put("callerPort", callerPort);
    m.put("peerPort", peerPort);
    m.put("store", hostAndPort(storeUrl));
    m.put("instanceList", hostAndPort(instanceListUrl));
    m.put("tracesExported", traces.export());
    m.put("operatorKeys", operatorKeys.size());
    return m;
  }

  private static String hostAndPort(String url) {
    URI u = URI.create(url);
    return u.getHost() + ":" + u.getPort();
  }

  /** A key of an operator, stored as a salted hash. */
  public record OperatorKey(String id, String salt, String hash) {}

  /**
   * Files for TLS connections, all in PEM format.
   *
   * @param certificate certificate chain of the instance; may be empty for the platform only
   * @param privateKey private key of the instance; empty if there is no certificate
   * @param trustedCertificates certificates of the authorities that sign the other side's
   *     certificate
   */
  public record Tls(String certificate, String privateKey, String trustedCertificates) {
    TlsFiles files() {
      return new TlsFiles(path(certificate), path(privateKey), path(trustedCertificates));
    }

    private static Path path(String s) {
      return s.isEmpty() ? null : Path.of(s);
    }
  }

  /**
   * Files for TLS connections to the services of the platform.
   *
   * @param store files for the store; if empty and the store's URL is encrypted, the files of the
   *     instance are used
   * @param instanceList files for the instance list; if empty, handled as for the store
   * @param workers files for the workers; empty for plain connections
   */
  public record PlatformTls(
      Optional<Tls> store, Optional<Tls> instanceList, Optional<Tls> workers) {
    /** No files for any service. */
    public static final PlatformTls NONE =
        new PlatformTls(Optional.empty(), Optional.empty(), Optional.empty());
  }
}
