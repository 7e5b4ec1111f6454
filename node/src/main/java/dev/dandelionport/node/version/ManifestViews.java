package dev.dandelionport.node.version;

import dev.dandelionport.core.manifest.Manifest;
import java.util.Optional;
import java.util.function.Supplier;

/** Caches the view of the current manifest and replaces it when the manifest changes. */
public final class ManifestViews {

  private final Supplier<Optional<Manifest>> source;
  private volatile ManifestView view;

  /** Creates a cache for the manifest that {@code source} currently returns. */
  public ManifestViews(Supplier<Optional<Manifest>> source) {
    this.source = source;
  }

  /** Returns the view of the current manifest, if there is one. */
  public Optional<ManifestView> current() {
    Optional<Manifest> m = source.get();
    if (m.isEmpty()) {
      return Optional.empty();
    }
    ManifestView v = view;
    if (v == null || v.manifest() != m.get()) {
      v = new ManifestView(m.get());
      view = v;
    }
    return Optional.of(v);
  }
}
