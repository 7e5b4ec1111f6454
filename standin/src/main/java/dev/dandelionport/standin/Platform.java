package dev.dandelionport.standin;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import com.linecorp.armeria.server.ServerBuilder;
import com.linecorp.armeria.server.ServiceRequestContext;
import dev.dandelionport.standin.store.StoreFaults;
import dev.dandelionport.standin.store.StoreService;
import dev.dandelionport.standin.store.StoreState;
import dev.dandelionport.standin.worker.Checkpoints;
import dev.dandelionport.standin.worker.RunLog;
import dev.dandelionport.standin.worker.StandInWorker;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in platform in one process. The store and the instance list use the first port and each
 * worker has a port of its own; faults are injected and run records read under {@code /standin/}.
 */
public final class Platform implements AutoCloseable {

  /**
   * Size of the stand-in fleet.
   *
   * @param region region of all workers
   * @param failureDomains names of the failure domains
   * @param workers number of workers
   * @param perRack number of workers in a rack
   * @param capacity capacity of each worker, by resource name
   */
  public record Fleet(
      String region,
      List<String> failureDomains,
      int workers,
      int perRack,
      Map<String, Long> capacity) {

    /** Capacity of a worker with about 64 cores, 128 GB and a runner. */
    public static final Map<String, Long> DEFAULT_CAPACITY =
        Map.of(
            "slots", 8L,
            "connections", 64L,
            "milliCores", 64_000L,
            "memoryMb", 131_072L,
            "accelerators", 0L);
  }

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final long TICK_MILLIS = 50;

  private final StoreState store = new StoreState();
  private final StoreFaults faults = new StoreFaults();
  private final RunLog log = new RunLog();
  private final Checkpoints checkpoints = new Checkpoints();
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final Map<Integer, StandInWorker> workersByPort = new LinkedHashMap<>();
  private final Fleet fleet;
  private final String host;
  private final Server server;
  private final AtomicLong workerCalls = new AtomicLong();
  private String cachedList = "[]";
  private long cachedListMillis;
  private long listLagMillis;
  private boolean storeWasDown;

  /** Creates a platform on consecutive ports from {@code port}, or on free ports if it is 0. */
  public Platform(String host, int port, Fleet fleet) {
    this.host = host;
    this.fleet = fleet;
    ServerBuilder sb = Server.builder().http(new InetSocketAddress(host, port));
    for (int i = 0; i < fleet.workers(); i++) {
      sb.http(new InetSocketAddress(host, port == 0 ? 0 : port + 1 + i));
    }
    server =
        sb.requestTimeoutMillis(0)
            .service("prefix:/v3", new StoreService(store, faults))
            .service("/v1/workers", (ctx, req) -> HttpResponse.of(MediaType.JSON, instanceList()))
            .service("/standin/faults", this::setFaults)
            .service("/standin/runs", (ctx, req) -> HttpResponse.of(MediaType.JSON, runs()))
            .service("prefix:/v1", this::serveWorkerCall)
            .build();
  }

  /** Starts the server and returns the first port. */
  public int start() {
    server.start().join();
    List<Integer> ports =
        server.activePorts().keySet().stream().map(InetSocketAddress::getPort).sorted().toList();
    for (int i = 0; i < fleet.workers(); i++) {
      String id = "worker-" + (i + 1);
      workersByPort.put(
          ports.get(i + 1),
          new StandInWorker(id, failureDomain(i), fleet.capacity(), timer, log, checkpoints));
    }
    timer.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    return ports.get(0);
  }

  private String failureDomain(int worker) {
    int rack = worker / fleet.perRack();
    return fleet.failureDomains().get(rack % fleet.failureDomains().size());
  }

  private String rack(int worker) {
    return "rack-" + (worker / fleet.perRack() + 1);
  }

  private void tick() {
    workersByPort.values().forEach(StandInWorker::tick);
    if (faults.down) {
      storeWasDown = true;
      return;
    }
    if (storeWasDown) {
      storeWasDown = false;
      store.extendLeases(System.currentTimeMillis());
    }
    store.expire(System.currentTimeMillis());
  }

  /** Returns the list of workers, which may be outdated by up to {@link #listLagMillis}. */
  private synchronized String instanceList() {
    long now = System.currentTimeMillis();
    if (now - cachedListMillis >= listLagMillis) {
      ArrayNode fresh = JSON.createArrayNode();
      int i = 0;
      for (Map.Entry<Integer, StandInWorker> e : workersByPort.entrySet()) {
        fresh.add(e.getValue().describe(fleet.region(), rack(i), host, e.getKey()));
        i++;
      }
      cachedList = fresh.toString();
      cachedListMillis = now;
    }
    return cachedList;
  }

  private HttpResponse serveWorkerCall(ServiceRequestContext ctx, HttpRequest req) {
    StandInWorker w = workersByPort.get(ctx.localAddress().getPort());
    if (w == null) {
      return HttpResponse.of(HttpStatus.NOT_FOUND);
    }
    workerCalls.incrementAndGet();
    if (w.faults().silent) {
      return HttpResponse.streaming();
    }
    HttpResponse answer =
        HttpResponse.of(
            req.aggregate()
                .thenCompose(a -> dispatch(w, ctx.path(), read(a.contentUtf8())))
                .thenApply(
                    r ->
                        // A worker that was made silent in the meantime does not respond either.
                        w.faults().silent
                            ? HttpResponse.streaming()
                            : HttpResponse.of(MediaType.JSON, r.toString())));
    long delayMillis = w.faults().slowMillis;
    return delayMillis > 0 ? HttpResponse.delayed(answer, Duration.ofMillis(delayMillis)) : answer;
  }

  private static CompletableFuture<ObjectNode> dispatch(StandInWorker w, String path, JsonNode q) {
    return switch (path) {
      case "/v1/sync" -> w.sync(q);
      case "/v1/start" -> CompletableFuture.completedFuture(w.start(q));
      case "/v1/stop" -> CompletableFuture.completedFuture(w.stop(q, "STOPPED"));
      case "/v1/checkpoint" -> CompletableFuture.completedFuture(w.stop(q, "CHECKPOINTED"));
      case "/v1/throttle" -> CompletableFuture.completedFuture(w.throttle(q));
      default -> CompletableFuture.failedFuture(new IllegalArgumentException(path));
    };
  }

  private static JsonNode read(String body) {
    try {
      return JSON.readTree(body);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private HttpResponse setFaults(ServiceRequestContext ctx, HttpRequest req) {
    return HttpResponse.of(
        req.aggregate()
            .thenApply(
                a -> {
                  setFaults(read(a.contentUtf8()));
                  return HttpResponse.of(HttpStatus.OK);
                }));
  }

  /**
   * Sets faults and the operator decisions that runs are checked against; absent fields keep their
   * value. {@code workers} and {@code racks} map a name to the faults of a worker or of all workers
   * of a rack, {@code drained} maps failure domains to true or false, {@code teamLimits} maps teams
   * to their upper limit of running tasks.
   */
  private synchronized void setFaults(JsonNode q) {
    faults.set(q);
    listLagMillis = q.path("listLagMillis").asLong(listLagMillis);
    int i = 0;
    for (StandInWorker w : workersByPort.values()) {
      setWorkerFaults(w, q.path("workers").path(w.id()));
      setWorkerFaults(w, q.path("racks").path(rack(i)));
      i++;
    }
    long now = System.currentTimeMillis();
    q.path("drained")
        .properties()
        .forEach(e -> log.setDrained(e.getKey(), e.getValue().asBoolean(), now));
    q.path("teamLimits")
        .properties()
        .forEach(e -> log.setLimit(e.getKey(), e.getValue().asInt(), now));
  }

  private static void setWorkerFaults(StandInWorker w, JsonNode q) {
    w.faults().set(q);
    if (q.has("leaving")) {
      w.setLeaving(q.path("leaving").asBoolean());
    }
    if (q.path("crash").asBoolean()) {
      w.crash();
    }
  }

  private String runs() {
    ObjectNode r = JSON.createObjectNode();
    log.violations().forEach(r::put);
    r.put("storeCalls", faults.calls.get()).put("storeWrites", faults.writes.get());
    r.put("workerCalls", workerCalls.get());
    r.set("runs", JSON.valueToTree(new ArrayList<>(log.all())));
    return r.toString();
  }

  @Override
  public void close() {
    server.stop().join();
    timer.shutdownNow();
  }
}
