package dev.dandelionport.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLHandshakeException;

/**
 * Calls instances over HTTP. A call is retried on another instance only if the connection failed
 * before the request was sent, so that no call takes effect twice.
 */
final class ApiClient {

  static final ObjectMapper JSON = new ObjectMapper();

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);

  /** Response timeout: the longest wait for a job, 60 s, plus the time for routing the call. */
  private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(85);

  /**
   * Added to connection errors because with TLS 1.3 a server that requires a client certificate
   * closes the connection after the client's handshake has already succeeded.
   */
  private static final String CLIENT_CERTIFICATE_HINT =
      "; if the server asks for a client certificate, name it with --certificate-file";

  private final List<String> urls;
  private final String key;
  private final HttpClient http;

  /** Creates a client; {@code tls} is null to use the default trust store of the Java runtime. */
  ApiClient(List<String> urls, String key, SSLContext tls) {
    this.urls = urls;
    this.key = key;
    HttpClient.Builder b =
        HttpClient.newBuilder()
            .connectTimeout(CONNECT_TIMEOUT)
            .version(HttpClient.Version.HTTP_1_1);
    this.http = (tls == null ? b : b.sslContext(tls)).build();
  }

  List<String> urls() {
    return urls;
  }

  ApiResponse get(String path) {
    return call("GET", path, new byte[0]);
  }

  ApiResponse call(String method, String path, byte[] body) {
    String failure = "";
    for (String url : urls) {
      try {
        return send(url, method, path, body);
      } catch (ConnectException e) {
        failure = "cannot connect to " + url;
      } catch (SSLHandshakeException e) {
        // Safe to try the next instance: a server handles no request before the handshake
        // completes.
        failure = "no secure connection to " + url + ": " + e.getMessage();
      } catch (IOException e) {
        throw new CommandException(
            ExitStatus.UNKNOWN,
            "the connection to "
                + url
                + " broke; whether the call took effect is not known: "
                + e
                + (url.startsWith("https:") ? CLIENT_CERTIFICATE_HINT : ""));
      }
    }
    throw new CommandException(
        ExitStatus.UNKNOWN,
        failure
            + (failure.startsWith("no secure")
                ? "; name the certificate authority with --ca-file" + CLIENT_CERTIFICATE_HINT
                : "; name instances with --url or DANDELIONPORT_URL"));
  }

  /** Sends a GET request to one instance; returns null if the connection fails. */
  ApiResponse getFrom(String url, String path) {
    try {
      return send(url, "GET", path, new byte[0]);
    } catch (IOException e) {
      return null;
    }
  }

  private ApiResponse send(String url, String method, String path, byte[] body) throws IOException {
    HttpRequest.Builder b;
    try {
      b = HttpRequest.newBuilder(URI.create(url + path)).timeout(RESPONSE_TIMEOUT);
    } catch (IllegalArgumentException e) {
      throw new CommandException(ExitStatus.USAGE, "not a URL: " + url + path);
    }
    if (!key.isEmpty()) {
      b.header("Authorization", "Bearer " + key);
    }
    HttpRequest.BodyPublisher publisher =
        body.length == 0
            ? HttpRequest.BodyPublishers.noBody()
            : HttpRequest.BodyPublishers.ofByteArray(body);
    b.header("Content-Type", "application/json").method(method, publisher);
    try {
      HttpResponse<byte[]> r = http.send(b.build(), HttpResponse.BodyHandlers.ofByteArray());
      return new ApiResponse(r.statusCode(), parse(r.body()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new CommandException(ExitStatus.UNKNOWN, "interrupted");
    }
  }

  private static JsonNode parse(byte[] body) throws IOException {
    try {
      JsonNode n = JSON.readTree(body);
      return n == null ? JSON.createObjectNode() : n;
    } catch (JsonProcessingException e) {
      return JSON.createObjectNode().put("message", "the answer is not JSON");
    }
  }
}
