package dev.dandelionport.node.connection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreChange;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.StoreUnavailableException;
import dev.dandelionport.core.port.SwapResult;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;

/** Key-value store client that uses the JSON gateway of the etcd v3 API. */
public final class EtcdStore implements KeyValueStore {

  /** Response timeout, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1_000;

  /** Largest response, in bytes; listing a partition's journal returns many values. */
  private static final long MAX_ANSWER_BYTES = 32L << 20;

  /** Maximum number of concurrent calls; the store handles a few thousand per second. */
  private static final int MAX_CALLS = 512;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpPool pool;
  private final long timeoutMillis;
  private final AtomicInteger pendingCalls = new AtomicInteger();
  private final Set<StoreWatch> watches = ConcurrentHashMap.newKeySet();

  /** Newest revision reported by the last watch of each prefix; the next watch resumes there. */
  private final Map<String, Long> reportedRevisions = new ConcurrentHashMap<>();

  /** Creates a client of the gateway at {@code url}, such as {@code http://10.0.0.1:2379}. */
  public EtcdStore(String url) {
    this(url, null);
  }

  /** Creates a client; {@code tls} is null to trust the default certificate authorities. */
  public EtcdStore(String url, TlsFiles tls) {
    this(url, tls, TIMEOUT_MILLIS);
  }

  /** Creates a client whose calls fail if they are not answered in {@code timeoutMillis}. */
  EtcdStore(String url, TlsFiles tls, long timeoutMillis) {
    this.pool = new HttpPool(url, MAX_ANSWER_BYTES, true, tls);
    this.timeoutMillis = timeoutMillis;
  }

  @Override
  public CompletableFuture<Optional<StoreEntry>> get(String key) {
    ObjectNode request = JSON.createObjectNode().put("key", encode(key));
    return post("/v3/kv/range", request, r -> decodeRange(r).stream().findFirst());
  }

  @Override
  public CompletableFuture<List<StoreEntry>> list(String prefix) {
    ObjectNode request = JSON.createObjectNode();
    request.put("key", encode(prefix)).put("range_end", encode(prefixEnd(prefix)));
    return post("/v3/kv/range", request, this::decodeRange);
  }

  @Override
  public CompletableFuture<SwapResult> compareAndSwap(
      String key, long expectedRevision, byte[] value, long lease) {
    ObjectNode request = JSON.createObjectNode();
    request
        .putArray("compare")
        .addObject()
        .put("key", encode(key))
        .put("target", "MOD")
        .put("result", "EQUAL")
        .put("mod_revision", Long.toString(expectedRevision));
    request
        .putArray("success")
        .addObject()
        .putObject("request_put")
        .put("key", encode(key))
        .put("value", Base64.getEncoder().encodeToString(value))
        .put("lease", Long.toString(lease));
    request.putArray("failure").addObject().putObject("request_range").put("key", encode(key));
    return post("/v3/kv/txn", request, r -> swapResult(key, r));
  }

  private SwapResult swapResult(String key, JsonNode response) {
    if (response.path("succeeded").asBoolean()) {
      long revision = parsePositive(response.path("header"), "revision");
      notifyWatches(key, revision);
      return new SwapResult(true, revision, Optional.empty());
    }
    if (!response.path("responses").path(0).has("response_range")) {
      throw new IllegalArgumentException("failed transaction has no range response");
    }
    JsonNode range = response.path("responses").path(0).path("response_range");
    return new SwapResult(false, 0, decodeEntries(range).stream().findFirst());
  }

  @Override
  public CompletableFuture<Void> deleteRange(String from, String to) {
    ObjectNode request = JSON.createObjectNode();
    request.put("key", encode(from)).put("range_end", encode(to));
    return post("/v3/kv/deleterange", request, r -> null);
  }

  @Override
  public CompletableFuture<Long> grantLease(long ttlMillis) {
    long seconds = (ttlMillis + 999) / 1000;
    ObjectNode request = JSON.createObjectNode().put("TTL", Long.toString(seconds));
    return post(
        "/v3/lease/grant",
        request,
        r -> {
          if (r.path("TTL").asLong() < seconds) {
            throw new IllegalArgumentException(
                "store granted a lease of "
                    + r.path("TTL").asLong()
                    + " s instead of "
                    + seconds
                    + " s");
          }
          return parsePositive(r, "ID");
        });
  }

  @Override
  public CompletableFuture<Boolean> keepAlive(long lease) {
    ObjectNode request = JSON.createObjectNode().put("ID", Long.toString(lease));
    return post(
        "/v3/lease/keepalive",
        request,
        r -> {
          // The gateway omits default values, so an expired lease has no time to live.
          if (!r.has("result")) {
            throw new IllegalArgumentException("lease renewal has no result");
          }
          return r.path("result").path("TTL").asLong() > 0;
        });
  }

  @Override
  public CompletableFuture<Void> revokeLease(long lease) {
    ObjectNode request = JSON.createObjectNode().put("ID", Long.toString(lease));
    return post("/v3/lease/revoke", request, r -> null);
  }

  @Override
  public Watch watch(String prefix, Consumer<StoreChange> listener, Runnable onClose) {
    long lastRevision = reportedRevisions.getOrDefault(prefix, 0L);
    ObjectNode request = JSON.createObjectNode();
    ObjectNode create = request.putObject("create_request");
    create.put("key", encode(prefix)).put("range_end", encode(prefixEnd(prefix)));
    if (lastRevision > 0) {
      create.put("start_revision", Long.toString(lastRevision + 1));
    }
    StoreWatch[] watch = new StoreWatch[1];
    watch[0] =
        new StoreWatch(
            prefix,
            lastRevision > 0 ? lastRevision + 1 : 0,
            listener,
            () -> {
              watches.remove(watch[0]);
              reportedRevisions.put(prefix, watch[0].reportedRevision());
              onClose.run();
            });
    watches.add(watch[0]);
    watch[0].read(
        pool.client()
            .prepare()
            .post("/v3/watch")
            .content(MediaType.JSON, request.toString())
            .responseTimeoutMillis(0)
            .maxResponseLength(0)
            .execute());
    return watch[0];
  }

  private <T> CompletableFuture<T> post(
      String path, ObjectNode body, Function<JsonNode, T> decoder) {
    if (pendingCalls.incrementAndGet() > MAX_CALLS) {
      pendingCalls.decrementAndGet();
      return CompletableFuture.failedFuture(
          new StoreUnavailableException("too many calls to the store are under way", null));
    }
    return pool.send(
            c -> c.prepare().post(path).content(MediaType.JSON, body.toString()), timeoutMillis)
        .handle(
            (r, e) -> {
              pendingCalls.decrementAndGet();
              if (e != null) {
                throw new StoreUnavailableException("store did not answer " + path, e);
              }
              return decode(path, r, decoder);
            });
  }

  private static <T> T decode(
      String path, AggregatedHttpResponse r, Function<JsonNode, T> decoder) {
    if (!r.status().equals(HttpStatus.OK)) {
      throw new StoreUnavailableException("store answered " + r.status() + " to " + path, null);
    }
    try {
      JsonNode n = JSON.readTree(r.content().toInputStream());
      if (!n.isObject() || n.has("error")) {
        throw new StoreUnavailableException(
            "store answered " + path + " with error " + n.path("error"), null);
      }
      return decoder.apply(n);
    } catch (IOException | IllegalArgumentException e) {
      throw new StoreUnavailableException("store sent a malformed answer to " + path, e);
    }
  }

  /** Decodes a range response, which has a header even if the gateway omits an empty list. */
  private List<StoreEntry> decodeRange(JsonNode response) {
    if (!response.path("header").isObject()) {
      throw new IllegalArgumentException("range response has no header");
    }
    return decodeEntries(response);
  }

  private List<StoreEntry> decodeEntries(JsonNode response) {
    if (response.path("more").asBoolean()) {
      throw new IllegalArgumentException("range response is incomplete");
    }
    List<StoreEntry> list = new ArrayList<>();
    response.path("kvs").forEach(kv -> list.add(decodeEntry(kv)));
    list.forEach(e -> notifyWatches(e.key(), e.revision()));
    return list;
  }

  private void notifyWatches(String key, long revision) {
    watches.forEach(w -> w.expectRevision(key, revision));
  }

  /** Decodes a key-value pair; the gateway omits an empty value. */
  static StoreEntry decodeEntry(JsonNode kv) {
    byte[] key = Base64.getDecoder().decode(kv.path("key").asText());
    byte[] value = Base64.getDecoder().decode(kv.path("value").asText());
    if (key.length == 0) {
      throw new IllegalArgumentException("entry has no key");
    }
    return new StoreEntry(
        new String(key, StandardCharsets.UTF_8), value, parsePositive(kv, "mod_revision"));
  }

  /** Parses a positive 64-bit number, which the gateway sends as a string. */
  private static long parsePositive(JsonNode node, String field) {
    long value = Long.parseLong(node.path(field).asText());
    if (value <= 0) {
      throw new IllegalArgumentException(field + " is not positive: " + value);
    }
    return value;
  }

  private static String encode(String key) {
    return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.UTF_8));
  }

  private static String prefixEnd(String prefix) {
    int last = prefix.length() - 1;
    return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
  }
}
