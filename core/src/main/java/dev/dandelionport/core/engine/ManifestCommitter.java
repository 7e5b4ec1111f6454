package dev.dandelionport.core.engine;

import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreEntry;
import dev.dandelionport.core.port.StoreUnavailableException;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

/**
 * Commits manifests by compare-and-swap. A commit succeeds only if the stored value is still the
 * one that its base was read from, so one of two concurrent commits fails. Thread-safe.
 */
public final class ManifestCommitter {

  /**
   * The state that a commit is based on.
   *
   * @param manifest newest manifest in the store or in this instance, if there is one
   * @param revision revision of the store's value that the commit replaces
   */
  public record Base(Optional<Manifest> manifest, long revision) {
    /** Returns the version of the manifest, 0 if there is none. */
    public long version() {
      return manifest.map(Manifest::version).orElse(0L);
    }
  }

  /**
   * The result of a commit.
   *
   * @param committed whether the manifest is now the value in the store
   * @param winner the manifest in the store, if there is one
   */
  public record Result(boolean committed, Optional<Manifest> winner) {}

  private final KeyValueStore store;
  private final Supplier<Optional<Manifest>> newestKnown;

  /** Creates a committer; {@code newestKnown} returns the newest manifest of this instance. */
  public ManifestCommitter(KeyValueStore store, Supplier<Optional<Manifest>> newestKnown) {
    this.store = store;
    this.newestKnown = newestKnown;
  }

  /**
   * Reads the base of the next commit. If the store was restored to an older state, the base is the
   * newest manifest of this instance. Fails if the store does not answer.
   */
  public CompletableFuture<Base> readBase() {
    return store
        .get(ControlKeys.MANIFEST)
        .thenApply(
            entry -> {
              Base stored = new Base(entry.map(ManifestCommitter::decode), revision(entry));
              Optional<Manifest> known = newestKnown.get();
              return known.map(Manifest::version).orElse(0L) > stored.version()
                  ? new Base(known, stored.revision())
                  : stored;
            });
  }

  /**
   * Writes {@code next}, whose version must be one above that of the base.
   *
   * @return the result; failed with {@link StoreUnavailableException} if it is not known whether
   *     the write took effect
   */
  public CompletableFuture<Result> commit(Base base, Manifest next) {
    if (next.version() != base.version() + 1) {
      throw new IllegalArgumentException(
          "version " + next.version() + " does not follow " + base.version());
    }
    byte[] value = JsonCodec.encode(next);
    return store
        .compareAndSwap(ControlKeys.MANIFEST, base.revision(), value, KeyValueStore.NO_LEASE)
        .handle(
            (r, e) -> {
              Throwable cause = Failures.cause(e);
              if (cause instanceof StoreUnavailableException) {
                return readBack(value, next.version());
              } else if (cause != null) {
                return CompletableFuture.<Result>failedFuture(cause);
              }
              Optional<Manifest> current =
                  r.swapped() ? Optional.of(next) : r.current().map(ManifestCommitter::decode);
              // If the transport sent the write twice, the second one fails although the first
              // succeeded.
              boolean committed =
                  r.swapped() || r.current().filter(x -> isValue(x, value)).isPresent();
              return CompletableFuture.completedFuture(new Result(committed, current));
            })
        .thenCompose(f -> f);
  }

  /** Determines whether a write took effect whose reply was lost. */
  private CompletableFuture<Result> readBack(byte[] value, long version) {
    return store
        .get(ControlKeys.MANIFEST)
        .thenApply(
            entry -> {
              if (entry.filter(x -> isValue(x, value)).isPresent()) {
                return new Result(true, entry.map(ManifestCommitter::decode));
              }
              Optional<Manifest> current = entry.map(ManifestCommitter::decode);
              // Each version is committed only once, so a different manifest of the same version
              // means that this commit failed. With any other version the write may still be in
              // flight, or a later commit may be based on it.
              if (current.map(Manifest::version).orElse(0L) != version) {
                throw new StoreUnavailableException(
                    "it is not known whether the commit took effect", null);
              }
              return new Result(false, current);
            });
  }

  private static boolean isValue(StoreEntry x, byte[] value) {
    return Arrays.equals(x.value(), value);
  }

  private static Manifest decode(StoreEntry x) {
    return JsonCodec.decode(x.value(), Manifest.class);
  }

  private static long revision(Optional<StoreEntry> x) {
    return x.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT);
  }
}
