package dev.dandelionport.standin.fleet;

import com.linecorp.armeria.common.AggregatedHttpRequest;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.QueryParams;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Function;

/**
 * Stand-in for the users' platform that serves the metadata store, the runners and the advice
 * service on one loopback port. Thread-safe.
 */
public final class FleetPlatform implements AutoCloseable {

  /** API key of the only client account. */
  public static final String API_KEY = "key-1";

  /** Host name that the only queue accepts. */
  public static final String QUEUE_HOST = "127.0.0.1";

  /** Path prefix of the only queue. */
  public static final String QUEUE_PATH_PREFIX = "/jobs/";

  private final ScheduledExecutorService executor = Executors.newSingleThreadScheduledExecutor();
  private final MetadataStore store = new MetadataStore();
  private final long runnersStartMillis = System.currentTimeMillis();
  private final RunnerHandler runnerHandler = new RunnerHandler(executor, runnersStartMillis);
  private final StoreHandler storeHandler = new StoreHandler(store, executor);
  private final Server server;

  /** Starts the platform with {@code runnerCount} runners and a configuration. */
  public FleetPlatform(int runnerCount) {
    this(runnerCount, id -> (change, task, run) -> {});
  }

  /** Starts the platform; {@code listeners} returns the listener of the runner with an id. */
  public FleetPlatform(int runnerCount, Function<String, RunListener> listeners) {
    server =
        Server.builder()
            .http(new InetSocketAddress("127.0.0.1", 0))
            .service("prefix:/", (ctx, req) -> serve(ctx, req))
            .requestTimeoutMillis(0)
            .build();
    server.start().join();
    for (int i = 0; i < runnerCount; i++) {
      String id = runnerId(i);
      runnerHandler.add(id, listeners.apply(id));
      registerRunner(i, port());
    }
    put("op/config", configuration(1));
  }

  /** Returns the port that all services listen on. */
  public int port() {
    return server.activeLocalPort();
  }

  /** Writes a key to the metadata store, as an operator or a runner does. */
  public void put(String key, String value) {
    String text = Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8));
    executor.submit(() -> store.apply(Map.of(key, text), Map.of(), List.of()));
  }

  /** Returns the value of a key of the metadata store; empty if the key does not exist. */
  public Optional<String> value(String key) {
    return CompletableFuture.supplyAsync(() -> store.get(key), executor)
        .join()
        .map(i -> new String(Base64.getDecoder().decode(i.value()), StandardCharsets.UTF_8));
  }

  /** Writes the entry of a runner, which names {@code runnerPort} as the port to call it at. */
  public void registerRunner(int index, int runnerPort) {
    put("servers/" + runnerId(index), runnerEntry(index, runnerPort));
  }

  private static String runnerId(int index) {
    return "i-" + index;
  }

  private String runnerEntry(int index, int runnerPort) {
    return ("{\"service\":\"svc\",\"address\":\"127.0.0.1:%d\",\"zone\":\"zone-%d\","
            + "\"version\":\"v1\",\"slots\":8,"
            + "\"state\":\"ready\",\"cold-remaining-ms\":0,"
            + "\"capacity\":{\"cpu\":16000,\"mem-mb\":32768,\"gpu\":0},"
            + "\"labels\":[\"a\",\"r1-%d\"],\"clock-ms\":1,\"seq\":1,"
            + "\"born\":%d}")
        .formatted(runnerPort, index % 3, index / 8, runnersStartMillis);
  }

  /** Returns a configuration with one queue that needs advice and one client account. */
  public static String configuration(long version) {
    return ("{\"version\":%d,\"routes\":[{\"name\":\"r-1\",\"host\":\"%s\","
            + "\"prefix\":\"%s\",\"kind\":\"non_idempotent\","
            + "\"timeout-ms\":3000,\"target-duration-ms\":250,\"priority\":0,\"service\":\"svc\","
            + "\"max-attempts\":3,\"slack-factor\":2,"
            + "\"advice\":{\"decide-ms\":1,\"period-ms\":0.1,\"valid-ms\":2000},"
            + "\"public\":false}],"
            + "\"services\":[{\"name\":\"svc\",\"admission-check\":false,"
            + "\"standby\":false}],\"limits\":{},"
            + "\"tenants\":[{\"name\":\"account\",\"api-keys\":[\"%s\"],\"weight\":100,"
            + "\"ceiling\":{\"cpu\":0,\"mem-mb\":0,\"gpu\":0}}]}")
        .formatted(version, QUEUE_HOST, QUEUE_PATH_PREFIX, API_KEY);
  }

  private HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    QueryParams q = QueryParams.fromQueryString(ctx.query());
    return HttpResponse.of(
        req.aggregate().thenComposeAsync(r -> route(r, ctx.path(), q), executor));
  }

  private CompletableFuture<HttpResponse> route(
      AggregatedHttpRequest r, String path, QueryParams q) {
    Optional<CompletableFuture<Reply>> reply = storeHandler.handle(r, path, q);
    if (reply.isEmpty()) {
      reply = runnerHandler.handle(r, path);
    }
    return reply
        .orElseGet(() -> CompletableFuture.completedFuture(new Reply(404, "{}")))
        .thenApply(x -> HttpResponse.of(HttpStatus.valueOf(x.status()), MediaType.JSON, x.body()));
  }

  @Override
  public void close() {
    server.stop().join();
    executor.shutdownNow();
  }
}
