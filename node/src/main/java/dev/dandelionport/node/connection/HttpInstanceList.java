package dev.dandelionport.node.connection;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import dev.dandelionport.core.port.InstanceList;
import dev.dandelionport.core.port.InstanceListException;
import dev.dandelionport.core.port.WorkerInfo;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Client for the platform's instance list, which is served as JSON over HTTP. */
public final class HttpInstanceList implements InstanceList {

  private static final ObjectMapper JSON =
      new ObjectMapper().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private static final long TIMEOUT_MILLIS = 1_000;

  /** Largest response, in bytes; 1,500 workers need about 400 KB. */
  private static final long MAX_ANSWER_BYTES = 8L << 20;

  /** Response body and the list decoded from it. */
  private record Decoded(byte[] body, List<WorkerInfo> list) {}

  private final HttpPool pool;

  /** Last decoded response; most responses equal the previous one and are not decoded again. */
  private volatile Decoded lastDecoded = new Decoded(new byte[0], List.of());

  /** Creates a client of the list at {@code url}, such as {@code http://10.0.0.1:8500}. */
  public HttpInstanceList(String url) {
    this(url, null);
  }

  /** Creates a client; {@code tls} is null to trust the default certificate authorities. */
  public HttpInstanceList(String url, TlsFiles tls) {
    this.pool = new HttpPool(url, MAX_ANSWER_BYTES, true, tls);
  }

  @Override
  public CompletableFuture<List<WorkerInfo>> workers(String region) {
    return pool.send(
            c -> c.prepare().get("/v1/workers").queryParam("region", region), TIMEOUT_MILLIS)
        .handle(
            (r, e) -> {
              if (e != null) {
                throw new InstanceListException("instance list did not answer", e);
              }
              return parse(r);
            });
  }

  private List<WorkerInfo> parse(AggregatedHttpResponse r) {
    if (!r.status().equals(HttpStatus.OK)) {
      throw new InstanceListException("instance list answered " + r.status(), null);
    }
    byte[] body = r.content().array();
    Decoded previous = lastDecoded;
    if (body.length > 0 && Arrays.equals(body, previous.body())) {
      return previous.list();
    }
    try {
      List<WorkerInfo> list = JSON.readValue(body, new TypeReference<List<WorkerInfo>>() {});
      if (list == null || list.stream().anyMatch(w -> !isComplete(w))) {
        throw new InstanceListException("instance list has incomplete entries", null);
      }
      lastDecoded = new Decoded(body, List.copyOf(list));
      return list;
    } catch (IOException e) {
      throw new InstanceListException("instance list sent malformed JSON", e);
    }
  }

  private static boolean isComplete(WorkerInfo w) {
    return w != null
        && w.id() != null
        && w.region() != null
        && w.failureDomain() != null
        && w.rack() != null
        && w.host() != null
        && w.capacity() != null
        && w.port() > 0;
  }
}
