package dev.dandelionport.node.request;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.node.ObjectNode;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.engine.ControlKeys;
import dev.dandelionport.core.manifest.Commit;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.ManifestReader;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreChange;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.StoreUnavailableException;
import dev.dandelionport.core.port.SwapResult;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

/** Tests the response to an operator when the store's reply to a manifest commit is lost. */
class LostReplyTest {

  private static final long NOW = 1_800_000_000_000L;

  private final SingleKeyStore store = new SingleKeyStore();
  private Optional<Manifest> currentManifest = Optional.empty();
  private final ManifestCommands commands =
      new ManifestCommands(store, () -> currentManifest, new FixedTime());

  private static final class FixedTime implements TimeSource {
    @Override
    public long monotonicNanos() {
      return 0;
    }

    @Override
    public long wallMillis() {
      return NOW;
    }
  }

  /** A store with one key. A write runs {@code onSwap} and then fails as if its reply was lost. */
  private static final class SingleKeyStore implements KeyValueStore {
    private byte[] value;
    private long revision;
    private boolean readsFail;
    private Runnable afterRead = () -> {};
    private Consumer<byte[]> onSwap = this::set;

    void set(byte[] next) {
      value = next;
      revision++;
    }

    @Override
    public CompletableFuture<Optional<StoreEntry>> get(String key) {
      if (readsFail) {
        return CompletableFuture.failedFuture(new StoreUnavailableException("down", null));
      }
      StoreEntry e = value == null ? null : new StoreEntry(ControlKeys.MANIFEST, value, revision);
      afterRead.run();
      return CompletableFuture.completedFuture(Optional.ofNullable(e));
    }

    @Override
    public CompletableFuture<SwapResult> compareAndSwap(
        String key, long expected, byte[] next, long lease) {
      onSwap.accept(next);
      return CompletableFuture.failedFuture(new StoreUnavailableException("reply lost", null));
    }

    @Override
    public CompletableFuture<List<StoreEntry>> list(String prefix) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> deleteRange(String from, String to) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMillis) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Boolean> keepAlive(long lease) {
      throw new UnsupportedOperationException();
    }

    @Override
    public CompletableFuture<Void> revokeLease(long lease) {
      throw new UnsupportedOperationException();
    }

    @Override
    public Watch watch(String prefix, Consumer<StoreChange> listener, Runnable onClose) {
      throw new UnsupportedOperationException();
    }
  }

  private static byte[] manifestBody(long version) {
    return HttpTestCell.manifest(version, 5).getBytes(StandardCharsets.UTF_8);
  }

  private static byte[] storedManifest(long version, String author) {
    Manifest m = ManifestReader.read(manifestBody(version)).manifest().orElseThrow();
    return JsonCodec.encode(m.withCommit(new Commit(author, NOW)));
  }

  private ObjectNode commit() {
    return commands.commit(manifestBody(1), "anna").join();
  }

  private RequestException commitFailure() {
    CompletionException e = catchThrowableOfType(CompletionException.class, this::commit);
    return (RequestException) e.getCause();
  }

  private void assertUnknown() {
    RequestException e = commitFailure();
    assertThat(e.code()).isEqualTo("unknown");
    assertThat(e.mayRetry()).isTrue();
    assertThat(e.getMessage())
        .contains("whether version 1 was committed is not known", "version 1 is by anna at 2027-");
  }

  /** Guards against a commit that is reported as failed although its write took effect. */
  @Test
  void commitThatTookEffectIsReportedAsCommitted() {
    ObjectNode n = commit();
    assertThat(n.path("committed").asBoolean()).isTrue();
    assertThat(n.path("version").asLong()).isEqualTo(1);
  }

  /** Guards against an unknown outcome reported when another commit has certainly won. */
  @Test
  void commitThatLostIsReportedAsConflict() {
    store.onSwap = v -> store.set(storedManifest(1, "bert"));
    RequestException e = commitFailure();
    assertThat(e.code()).isEqualTo("conflict");
    assertThat(e.getMessage()).contains("version 1 was committed by bert");
  }

  /** Guards against a commit reported as failed whose delayed write takes effect afterwards. */
  @Test
  void writeThatMayStillArriveIsReportedAsUnknown() {
    store.onSwap = v -> {};
    assertUnknown();
  }

  /** Guards against a conflict reported for a commit that took effect and was then superseded. */
  @Test
  void commitThatMayHaveBeenFollowedByAnotherIsReportedAsUnknown() {
    store.onSwap =
        v -> {
          store.set(v);
          store.set(storedManifest(2, "bert"));
        };
    assertUnknown();
  }

  /** Guards against a commit reported as failed while the store cannot be read to check it. */
  @Test
  void commitThatCannotBeReadBackIsReportedAsUnknown() {
    store.onSwap =
        v -> {
          store.set(v);
          store.readsFail = true;
        };
    assertUnknown();
  }

  /** Guards against a change that is committed twice when the operator sends it again. */
  @Test
  void sameChangeSentAgainIsCarriedOutOnce() {
    store.onSwap =
        v -> {
          store.set(v);
          store.readsFail = true;
        };
    assertUnknown();
    store.readsFail = false;
    RequestException again = commitFailure();
    assertThat(again.code()).isEqualTo("conflict");
    assertThat(again.getMessage()).contains("version 1 was committed by anna");
    assertThat(store.revision).isEqualTo(1);
  }

  /**
   * Guards against a conflict that is reported as a store restored to an older state, when another
   * commit wins between the read and the write of this one.
   */
  @Test
  void commitThatLosesBetweenReadAndWriteIsReportedAsConflict() {
    store.afterRead =
        () -> {
          byte[] won = storedManifest(1, "bert");
          currentManifest = Optional.of(JsonCodec.decode(won, Manifest.class));
          store.set(won);
          store.afterRead = () -> {};
        };
    store.onSwap = v -> {};
    assertThat(commitFailure().code()).isEqualTo("conflict");
  }
}
