package dev.dandelionport.node.connection;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import dev.dandelionport.core.common.AttemptId;
import dev.dandelionport.core.port.StartCommand;
import dev.dandelionport.core.port.StartReply;
import dev.dandelionport.core.port.SyncReply;
import dev.dandelionport.core.port.SyncRequest;
import dev.dandelionport.core.port.WorkerClient;
import dev.dandelionport.core.port.WorkerException;
import dev.dandelionport.core.port.WorkerInfo;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;

/** Client for workers, which accept JSON over HTTP. */
public final class HttpWorkerClient implements WorkerClient {

  /** Response timeout in milliseconds, in addition to the wait that a request specifies. */
  private static final long TIMEOUT_MILLIS = 1_000;

  private static final ObjectMapper JSON =
      new ObjectMapper()
          .setSerializationInclusion(JsonInclude.Include.NON_NULL)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  /** Omits fields that are 0 or empty to keep sync requests, the most frequent ones, small. */
  private static final ObjectMapper SYNC_JSON =
      JSON.copy().setSerializationInclusion(JsonInclude.Include.NON_DEFAULT);

  /** Largest response, in bytes; a worker reports at most a few hundred attempts. */
  private static final long MAX_ANSWER_BYTES = 4L << 20;

  private final HttpPool pool;
  private final String scheme;

  /** Creates a client that uses plain HTTP. */
  public HttpWorkerClient() {
    this(null);
  }

  /** Creates a client that uses TLS unless {@code tls} is null. */
  public HttpWorkerClient(TlsFiles tls) {
    this.pool = new HttpPool("", MAX_ANSWER_BYTES, false, tls);
    this.scheme = tls == null ? "h1c://" : "h1://";
  }

  private record AttemptOrder(AttemptId attempt, long epoch, Integer percent) {}

  @Override
  public CompletableFuture<StartReply> start(WorkerInfo worker, StartCommand command) {
    return post(worker, "start", command, StartReply.class, TIMEOUT_MILLIS);
  }

  @Override
  public CompletableFuture<Void> stop(WorkerInfo worker, AttemptId attempt, long epoch) {
    return sendOrder(worker, "stop", new AttemptOrder(attempt, epoch, null));
  }

  @Override
  public CompletableFuture<Void> checkpoint(WorkerInfo worker, AttemptId attempt, long epoch) {
    return sendOrder(worker, "checkpoint", new AttemptOrder(attempt, epoch, null));
  }

  @Override
  public CompletableFuture<Void> throttle(
      WorkerInfo worker, AttemptId attempt, long epoch, int percent) {
    return sendOrder(worker, "throttle", new AttemptOrder(attempt, epoch, percent));
  }

  @Override
  public CompletableFuture<SyncReply> sync(WorkerInfo worker, SyncRequest request) {
    long timeout = request.waitMillis() + TIMEOUT_MILLIS;
    return post(worker, "sync", request, SyncReply.class, timeout);
  }

  private CompletableFuture<Void> sendOrder(WorkerInfo worker, String name, AttemptOrder order) {
    return post(worker, name, order, Object.class, TIMEOUT_MILLIS).thenApply(o -> null);
  }

  private <T> CompletableFuture<T> post(
      WorkerInfo worker, String name, Object body, Class<T> type, long timeoutMillis) {
    String url = scheme + worker.host() + ":" + worker.port() + "/v1/" + name;
    String callName = "worker " + worker.id() + " to " + name;
    byte[] json;
    try {
      json = (body instanceof SyncRequest ? SYNC_JSON : JSON).writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot encode " + body.getClass().getName(), e);
    }
    return pool.send(c -> c.prepare().post(url).content(MediaType.JSON, json), timeoutMillis)
        .handle(
            (r, e) -> {
              if (e != null) {
                throw new WorkerException("no answer from " + callName, e);
              }
              return parse(r, type, callName);
            });
  }

  private static <T> T parse(AggregatedHttpResponse r, Class<T> type, String callName) {
    if (!r.status().equals(HttpStatus.OK)) {
      throw new WorkerException("status " + r.status() + " from " + callName, null);
    }
    try {
      T answer = JSON.readValue(r.content().array(), type);
      if (answer == null
          || answer instanceof SyncReply s && (s.incarnation() == null || s.usage() == null)
          || answer instanceof StartReply t && t.reason() == null) {
        throw new WorkerException("incomplete answer from " + callName, null);
      }
      return answer;
    } catch (IOException e) {
      throw new WorkerException("malformed answer from " + callName, e);
    }
  }
}
