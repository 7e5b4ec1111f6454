package dev.dandelionport.node.connection;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.linecorp.armeria.common.HttpData;
import com.linecorp.armeria.common.HttpObject;
import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.ResponseHeaders;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreChange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * Parses a watch stream line by line. The watch is closed as unresponsive if the store does not
 * confirm it in time, or if it does not report a change that the response to another call has
 * shown.
 */
final class StoreWatch implements Subscriber<HttpObject>, KeyValueStore.Watch {

  /** Time within which the store must confirm the watch or report a change, in milliseconds. */
  static final long SILENCE_TIMEOUT_MILLIS = 1_000;

  /** Largest line, in bytes; a line can contain several values of up to 1 MB in base64. */
  private static final int MAX_LINE_BYTES = 8 << 20;

  private static final ObjectMapper JSON = new ObjectMapper();

  private final String prefix;
  private final Consumer<StoreChange> listener;
  private final Runnable onClose;
  private final AtomicBoolean closed = new AtomicBoolean();
  private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
  private final long startRevision;
  private HttpResponse response;
  private volatile long reportedRevision;
  private volatile boolean created;
  private volatile boolean checkPending;

  /** Creates a watch from {@code startRevision}, or from the current revision if that is 0. */
  StoreWatch(String prefix, long startRevision, Consumer<StoreChange> listener, Runnable onClose) {
    this.prefix = prefix;
    this.startRevision = startRevision;
    this.reportedRevision = Math.max(0, startRevision - 1);
    this.listener = listener;
    this.onClose = onClose;
  }

  void read(HttpResponse r) {
    response = r;
    r.subscribe(this);
    scheduleCheck(
        () -> {
          if (!created) {
            close();
          }
        });
  }

  private static void scheduleCheck(Runnable check) {
    CompletableFuture.delayedExecutor(SILENCE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).execute(check);
  }

  /**
   * Returns the newest revision that the watch has reported, or 0 if the next watch must start at
   * the current revision.
   */
  long reportedRevision() {
    return reportedRevision;
  }

  /**
   * Closes the watch unless it reports {@code revision} of {@code key}, seen in the response to
   * another call, within {@link #SILENCE_TIMEOUT_MILLIS}.
   */
  void expectRevision(String key, long revision) {
    if (revision > reportedRevision && key.startsWith(prefix) && !checkPending) {
      checkPending = true;
      scheduleCheck(
          () -> {
            checkPending = false;
            if (revision > reportedRevision) {
              close();
            }
          });
    }
  }

  @Override
  public void close() {
    response.abort();
    onComplete();
  }

  @Override
  public void onSubscribe(Subscription s) {
    s.request(Long.MAX_VALUE);
  }

  @Override
  public void onNext(HttpObject o) {
    if (o instanceof ResponseHeaders h && !h.status().equals(HttpStatus.OK)) {
      close();
    } else if (o instanceof HttpData d) {
      try (d) {
        handleData(d.array());
      }
    }
  }

  private void handleData(byte[] bytes) {
    for (byte b : bytes) {
      if (closed.get()) {
        return;
      }
      if (b == '\n') {
        handleLine(lineBuffer.toByteArray());
        lineBuffer.reset();
      } else if (lineBuffer.size() < MAX_LINE_BYTES) {
        lineBuffer.write(b);
      } else {
        close();
      }
    }
  }

  private void handleLine(byte[] text) {
    try {
      JsonNode root = JSON.readTree(text);
      JsonNode r = root.path("result");
      long revision = r.path("header").path("revision").asLong();
      if (root.has("error") || r.path("canceled").asBoolean()) {
        // The store cancelled the watch, for example because the start revision was compacted. The
        // next watch starts at the current revision.
        reportedRevision = 0;
        close();
      } else if (r.path("created").asBoolean()) {
        handleCreated(revision);
      } else {
        for (JsonNode e : r.path("events")) {
          boolean deleted = e.path("type").asText().equals("DELETE");
          listener.accept(new StoreChange(EtcdStore.decodeEntry(e.path("kv")), deleted));
        }
        reportedRevision = Math.max(reportedRevision, revision);
      }
    } catch (IOException | RuntimeException e) {
      close();
    }
  }

  private void handleCreated(long revision) {
    created = true;
    if (startRevision == 0) {
      reportedRevision = Math.max(reportedRevision, revision);
    } else if (revision < startRevision - 1) {
      // The store was restored to an older state; a watch from a later revision reports nothing.
      reportedRevision = 0;
      close();
    }
  }

  @Override
  public void onError(Throwable t) {
    onComplete();
  }

  @Override
  public void onComplete() {
    if (closed.compareAndSet(false, true)) {
      onClose.run();
    }
  }
}
