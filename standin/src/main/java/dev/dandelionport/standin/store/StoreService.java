package dev.dandelionport.standin.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpRequest;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpResponseWriter;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.server.HttpService;
import com.linecorp.armeria.server.ServiceRequestContext;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Base64;
import java.util.List;
import java.util.function.Consumer;

/** HTTP interface of the stand-in store: the part of the etcd v3 JSON gateway that is used. */
public final class StoreService implements HttpService {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final StoreState state;
  private final StoreFaults faults;

  /** Creates a service that reads and writes {@code state} and injects {@code faults}. */
  public StoreService(StoreState state, StoreFaults faults) {
    this.state = state;
    this.faults = faults;
  }

  @Override
  public HttpResponse serve(ServiceRequestContext ctx, HttpRequest req) {
    faults.calls.incrementAndGet();
    if (faults.down) {
      return HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE);
    }
    if (ctx.path().equals("/v3/watch")) {
      return watch(req);
    }
    return HttpResponse.of(
        req.aggregate().thenApply(a -> answer(ctx.path(), read(a.contentUtf8()))));
  }

  private static JsonNode read(String body) {
    try {
      return JSON.readTree(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("malformed request", e);
    }
  }

  private HttpResponse answer(String path, JsonNode request) {
    long now = System.currentTimeMillis();
    ObjectNode response = JSON.createObjectNode();
    boolean loseReply = false;
    switch (path) {
      case "/v3/kv/range" -> putEntries(response, range(request));
      case "/v3/kv/txn" -> loseReply = txn(request, response);
      case "/v3/kv/deleterange" -> {
        faults.writes.incrementAndGet();
        state.delete(decodeField(request, "key"), decodeField(request, "range_end"));
      }
      case "/v3/lease/grant" -> {
        long ttl = request.path("TTL").asLong();
        response
            .put("ID", Long.toString(state.grant(ttl * 1000, now)))
            .put("TTL", Long.toString(ttl));
      }
      case "/v3/lease/keepalive" -> {
        long ttl = state.keepAlive(request.path("ID").asLong(), now) / 1000;
        ObjectNode result = response.putObject("result").put("ID", request.path("ID").asText());
        if (ttl > 0) {
          result.put("TTL", Long.toString(ttl));
        }
      }
      case "/v3/lease/revoke" -> state.revoke(request.path("ID").asLong());
      default -> {
        return HttpResponse.of(HttpStatus.NOT_FOUND);
      }
    }
    response.putObject("header").put("revision", Long.toString(state.revision()));
    if (loseReply) {
      return HttpResponse.of(HttpStatus.GATEWAY_TIMEOUT);
    }
    HttpResponse ok = HttpResponse.of(HttpStatus.OK, MediaType.JSON, response.toString());
    long delay = faults.delayMillis;
    return delay > 0 ? HttpResponse.delayed(ok, Duration.ofMillis(delay)) : ok;
  }

  private List<StoreState.Entry> range(JsonNode request) {
    String key = decodeField(request, "key");
    if (request.hasNonNull("range_end")) {
      return state.range(key, decodeField(request, "range_end"));
    }
    return state.get(key).map(List::of).orElse(List.of());
  }

  /** Executes a transaction; returns whether its reply must be dropped. */
  private boolean txn(JsonNode request, ObjectNode response) {
    long writeNumber = faults.writes.incrementAndGet();
    JsonNode compare = request.path("compare").path(0);
    JsonNode put = request.path("success").path(0).path("request_put");
    byte[] value = Base64.getDecoder().decode(put.path("value").asText());
    boolean swapped =
        state.compareAndPut(
            decodeField(put, "key"),
            compare.path("mod_revision").asLong(),
            value,
            put.path("lease").asLong());
    if (swapped) {
      response.put("succeeded", true);
    }
    ArrayNode responses = response.putArray("responses");
    if (!swapped) {
      JsonNode get = request.path("failure").path(0).path("request_range");
      putEntries(responses.addObject().putObject("response_range"), range(get));
    }
    return faults.losesReply(writeNumber);
  }

  private HttpResponse watch(HttpRequest req) {
    HttpResponseWriter out = HttpResponse.streaming();
    out.write(ResponseHeaders.of(HttpStatus.OK));
    req.aggregate()
        .thenAccept(
            a -> {
              JsonNode q = read(a.contentUtf8()).path("create_request");
              long start = q.path("start_revision").asLong();
              writeLine(out, state.revision(), r -> r.put("created", true));
              long compacted = state.compactedRevision();
              if (start > 0 && start <= compacted) {
                writeLine(
                    out,
                    state.revision(),
                    r ->
                        r.put("canceled", true)
                            .put("compact_revision", Long.toString(compacted + 1)));
                out.close();
                return;
              }
              Runnable stop =
                  state.watch(
                      decodeField(q, "key"),
                      decodeField(q, "range_end"),
                      start,
                      c -> writeEvent(out, c));
              out.whenComplete().whenComplete((v, e) -> stop.run());
            });
    return out;
  }

  private void writeEvent(HttpResponseWriter out, StoreState.Change c) {
    if (faults.watchSilent) {
      return;
    }
    writeLine(
        out,
        c.entry().revision(),
        r -> {
          ObjectNode event = r.putArray("events").addObject();
          // The gateway omits fields that have their default value, such as the type PUT.
          if (c.deleted()) {
            event.put("type", "DELETE");
          }
          putEntry(event.putObject("kv"), c.entry());
        });
  }

  private static void writeLine(
      HttpResponseWriter out, long revision, Consumer<ObjectNode> content) {
    ObjectNode root = JSON.createObjectNode();
    ObjectNode result = root.putObject("result");
    result.putObject("header").put("revision", Long.toString(revision));
    content.accept(result);
    out.tryWrite(HttpData.ofUtf8(root + "\n"));
  }

  private static void putEntries(ObjectNode r, List<StoreState.Entry> entries) {
    if (!entries.isEmpty()) {
      ArrayNode kvs = r.putArray("kvs");
      entries.forEach(e -> putEntry(kvs.addObject(), e));
    }
  }

  private static void putEntry(ObjectNode kv, StoreState.Entry e) {
    kv.put("key", Base64.getEncoder().encodeToString(e.key().getBytes(StandardCharsets.UTF_8)));
    if (e.value().length > 0) {
      kv.put("value", Base64.getEncoder().encodeToString(e.value()));
    }
    kv.put("mod_revision", Long.toString(e.revision()));
  }

  private static String decodeField(JsonNode node, String field) {
    return new String(
        Base64.getDecoder().decode(node.path(field).asText()), StandardCharsets.UTF_8);
  }
}
