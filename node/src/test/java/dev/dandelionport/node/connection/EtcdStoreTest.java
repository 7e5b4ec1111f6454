package dev.dandelionport.node.connection;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.StoreUnavailableException;
import dev.dandelionport.core.port.SwapResult;
import dev.dandelionport.standin.FreezingRelay;
import dev.dandelionport.standin.store.StoreFaults;
import dev.dandelionport.standin.store.StoreService;
import dev.dandelionport.standin.store.StoreState;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the store client against outages, unresponsive connections and malformed responses. */
@Timeout(60)
class EtcdStoreTest {

  /**
   * Response timeout of the store's calls, in milliseconds. On a machine with three times as many
   * busy threads as cores, the first calls of a process took longer than the default of 1 s.
   */
  private static final long TIMEOUT_MILLIS = 5_000;

  private final StoreState state = new StoreState();
  private final StoreFaults faults = new StoreFaults();
  private Server server;
  private FreezingRelay relay;
  private EtcdStore store;

  @BeforeEach
  void startStore() {
    server =
        Server.builder()
            .requestTimeoutMillis(0)
            .service("prefix:/v3", new StoreService(state, faults))
            .build();
    server.start().join();
    relay = new FreezingRelay(server.activeLocalPort());
    store = newStore(relay);
  }

  private static EtcdStore newStore(FreezingRelay relay) {
    return new EtcdStore("http://127.0.0.1:" + relay.port(), null, TIMEOUT_MILLIS);
  }

  @AfterEach
  void stopStore() {
    relay.close();
    server.stop().join();
  }

  private static byte[] bytes(String s) {
    return s.getBytes(StandardCharsets.UTF_8);
  }

  private SwapResult put(String key, long expected, String value) {
    return store.compareAndSwap(key, expected, bytes(value), 0).join();
  }

  @Test
  void failedCompareAndSwapReturnsTheCurrentEntry() {
    // The loser of a race needs the current entry: it may be its own write whose reply was lost.
    SwapResult first = put("/k", 0, "one");
    assertThat(first.swapped()).isTrue();
    SwapResult second = put("/k", 0, "two");
    assertThat(second.swapped()).isFalse();
    StoreEntry current = second.current().orElseThrow();
    assertThat(current.value()).isEqualTo(bytes("one"));
    assertThat(current.revision()).isEqualTo(first.revision());
    assertThat(put("/k", first.revision(), "").swapped()).isTrue();
    assertThat(store.get("/k").join().orElseThrow().value()).isEmpty();
    assertThat(put("/absent", 99, "x").current()).isEmpty();
    assertThat(store.list("/none/").join()).isEmpty();
  }

  @Test
  void renewalOfAnExpiredLeaseReturnsFalse() {
    // The store reports an expired lease by a missing time to live and not by an error.
    long lease = store.grantLease(1_500).join();
    assertThat(store.keepAlive(lease).join()).isTrue();
    state.revoke(lease);
    assertThat(store.keepAlive(lease).join()).isFalse();
  }

  @Test
  void silentConnectionsAreReplaced() {
    // If renewals keep using an unresponsive connection, the instance loses its authority.
    put("/k", 0, "v");
    final int before = relay.accepted();
    relay.freeze();
    assertThatThrownBy(() -> store.get("/k").join())
        .hasCauseInstanceOf(StoreUnavailableException.class);
    for (int i = 0; i < 3; i++) {
      assertThat(store.get("/k").join()).isPresent();
    }
    assertThat(relay.accepted()).isGreaterThan(before);
  }

  @Test
  void watchReportsChangesAndResumesWhereItEnded() throws InterruptedException {
    // Without resuming, changes between two watches are missed until the next periodic read.
    BlockingQueue<String> seen = new ArrayBlockingQueue<>(100);
    CountDownLatch ended = new CountDownLatch(1);
    final EtcdStore.Watch first =
        store.watch("/w/", c -> seen.add(c.entry().key() + c.deleted()), ended::countDown);
    put("/w/a", 0, "1");
    while (seen.isEmpty()) {
      put("/w/a", store.get("/w/a").join().orElseThrow().revision(), "1");
    }
    assertThat(seen.take()).isEqualTo("/w/afalse");
    first.close();
    ended.await();
    seen.clear();
    put("/w/b", 0, "2");
    store.deleteRange("/w/b", "/w/c").join();
    store.watch("/w/", c -> seen.add(c.entry().key() + c.deleted()), () -> {});
    String next = seen.take();
    while (next.equals("/w/afalse")) {
      next = seen.take();
    }
    assertThat(next).isEqualTo("/w/bfalse");
    assertThat(seen.take()).isEqualTo("/w/btrue");
  }

  @Test
  void watchThatMissesOneChangeIsClosed() throws InterruptedException {
    // An unresponsive watch that stays open delays the withdrawal of a key beyond 3 s.
    CountDownLatch ended = new CountDownLatch(1);
    faults.watchSilent = true;
    store.watch("/w/", c -> {}, ended::countDown);
    long revision = 0;
    while (ended.getCount() > 0) {
      revision = put("/w/a", revision, "1").revision();
      Thread.sleep(50);
    }
    assertThat(ended.getCount()).isZero();
  }

  @Test
  void watchThatIsNeverConfirmedIsClosed() throws InterruptedException {
    // A watch on a connection that does not respond from the start never reports a change.
    relay.close();
    FreezingRelay silent = new FreezingRelay(server.activeLocalPort());
    EtcdStore other = newStore(silent);
    other.get("/k").join();
    silent.freeze();
    CountDownLatch ended = new CountDownLatch(1);
    other.watch("/w/", c -> {}, ended::countDown);
    ended.await();
    silent.close();
  }

  @Test
  void watchAfterCompactionRestartsAtTheCurrentRevision() throws InterruptedException {
    // The store cancels every watch from a compacted revision; reusing it would loop forever.
    CountDownLatch ended = new CountDownLatch(1);
    BlockingQueue<Long> seen = new ArrayBlockingQueue<>(1_000);
    EtcdStore.Watch w = store.watch("/w/", c -> seen.add(c.entry().revision()), ended::countDown);
    long revision = 0;
    while (seen.isEmpty()) {
      revision = put("/w/a", revision, "1").revision();
    }
    w.close();
    ended.await();
    revision = put("/w/a", revision, "2").revision();
    state.compact();
    CountDownLatch cancelled = new CountDownLatch(1);
    store.watch("/w/", c -> {}, cancelled::countDown);
    cancelled.await();
    BlockingQueue<Long> later = new ArrayBlockingQueue<>(1_000);
    store.watch("/w/", c -> later.add(c.entry().revision()), () -> {});
    while (later.isEmpty()) {
      revision = put("/w/a", revision, "3").revision();
    }
    assertThat(later.take()).isGreaterThan(0);
  }

  @Test
  void brokenAnswersBecomeStoreUnavailable() {
    // Any other exception or an empty result would be handled as a valid response of the store.
    AtomicReference<String> body = new AtomicReference<>();
    Server broken =
        Server.builder()
            .service(
                "prefix:/v3",
                (ctx, req) -> HttpResponse.of(HttpStatus.OK, MediaType.JSON, body.get()))
            .build();
    broken.start().join();
    EtcdStore s = new EtcdStore("http://127.0.0.1:" + broken.activeLocalPort());
    for (String text :
        new String[] {
          "",
          "[]",
          "{}",
          "nonsense",
          "{\"error\":{\"message\":\"timeout\"}}",
          "{\"kvs\":[{\"key\":\"!\"}]}",
          "{\"kvs\":[{\"key\":\"aw==\"}]}",
          "{\"kvs\":[],\"more\":true}",
          "{\"succeeded\":true}"
        }) {
      body.set(text);
      if (!text.contains("succeeded")) {
        assertUnavailable(text, s.get("/k"));
        assertUnavailable(text, s.list("/"));
      }
      assertUnavailable(text, s.compareAndSwap("/k", 0, bytes("v"), 0));
      assertUnavailable(text, s.keepAlive(1));
      assertUnavailable(text, s.grantLease(1_000));
    }
    broken.stop().join();
  }

  private static void assertUnavailable(String text, CompletableFuture<?> call) {
    assertThatThrownBy(call::join).as(text).hasCauseInstanceOf(StoreUnavailableException.class);
  }

  @Test
  void outageAndLostReplyBecomeStoreUnavailable() {
    // Both leave the effect of a write unknown, which the journal must distinguish from a lost
    // race.
    faults.down = true;
    assertThatThrownBy(() -> store.get("/k").join())
        .hasCauseInstanceOf(StoreUnavailableException.class);
    faults.down = false;
    faults.loseReplyEvery = 1;
    assertThatThrownBy(() -> put("/k", 0, "v")).hasCauseInstanceOf(StoreUnavailableException.class);
    assertThat(store.get("/k").join()).isPresent();
  }
}
