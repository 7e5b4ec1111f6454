package dev.dandelionport.node.version;

import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.Queue;
import dev.dandelionport.core.manifest.Team;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Indexes of one manifest version; requests look up teams and queues without a scan. */
public final class ManifestView {

  private final Manifest manifest;
  private final KeyIndex keys;
  private final Map<String, Team> teams = new HashMap<>();
  private final Map<String, Queue> queues = new HashMap<>();

  /** Creates the indexes of {@code manifest}. */
  public ManifestView(Manifest manifest) {
    this.manifest = manifest;
    List<KeyIndex.Entry> entries = new ArrayList<>();
    for (Team t : manifest.teams()) {
      teams.put(t.id(), t);
      t.keys().forEach(k -> entries.add(new KeyIndex.Entry(t.id(), k.id(), k.salt(), k.hash())));
    }
    manifest.queues().forEach(q -> queues.put(q.id(), q));
    keys = new KeyIndex(entries);
  }

  /** Returns the manifest. */
  public Manifest manifest() {
    return manifest;
  }

  /** Returns the index of the teams' API keys. */
  public KeyIndex keys() {
    return keys;
  }

  /** Returns a team by its id. */
  public Optional<Team> team(String id) {
    return Optional.ofNullable(teams.get(id));
  }

  /** Returns a queue by its id. */
  public Optional<Queue> queue(String id) {
    return Optional.ofNullable(queues.get(id));
  }
}
