package dev.dandelionport.node.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.linecorp.armeria.common.HttpStatus;
import dev.dandelionport.core.common.Failures;
import dev.dandelionport.core.common.JsonCodec;
import dev.dandelionport.core.common.JsonFields;
import dev.dandelionport.core.common.JsonProblem;
import dev.dandelionport.core.common.JsonProblems;
import dev.dandelionport.core.common.TimeSource;
import dev.dandelionport.core.engine.ManifestCommitter;
import dev.dandelionport.core.engine.ManifestCommitter.Base;
import dev.dandelionport.core.manifest.Commit;
import dev.dandelionport.core.manifest.FailureDomain;
import dev.dandelionport.core.manifest.Manifest;
import dev.dandelionport.core.manifest.ManifestChange;
import dev.dandelionport.core.manifest.ManifestDiff;
import dev.dandelionport.core.manifest.ManifestReader;
import dev.dandelionport.core.manifest.ManifestResult;
import dev.dandelionport.core.port.KeyValueStore;
import dev.dandelionport.core.port.StoreUnavailableException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;

/**
 * Checks, compares and commits manifests. Each commit states the version that it is based on and
 * fails with a conflict if another version has been committed since.
 */
final class ManifestCommands {

  private final ManifestCommitter committer;
  private final Supplier<Optional<Manifest>> currentManifest;
  private final TimeSource time;

  ManifestCommands(KeyValueStore store, Supplier<Optional<Manifest>> inForce, TimeSource time) {
    this.committer = new ManifestCommitter(store, inForce);
    this.currentManifest = inForce;
    this.time = time;
  }

  /** Commits the manifest in {@code body}; its version must be that of its base plus one. */
  CompletableFuture<ObjectNode> commit(byte[] body, String author) {
    Manifest next = requireValid(ManifestReader.read(body));
    return readBase()
        .thenCompose(
            s -> {
              requireBase(s, next.version() - 1);
              requireValid(ManifestReader.readNext(body, s.manifest()));
              return commitManifest(s, next, author);
            });
  }

  /**
   * Takes a failure domain out of service or returns it to service. Commits nothing if it already
   * has this state.
   */
  CompletableFuture<ObjectNode> setInService(
      String domain, boolean inService, byte[] body, String author) {
    long base = baseVersion(body);
    return readBase()
        .thenCompose(
            s -> {
              FailureDomain d =
                  s.manifest().stream()
                      .flatMap(m -> m.failureDomains().stream())
                      .filter(x -> x.id().equals(domain))
                      .findFirst()
                      .orElseThrow(
                          () -> RequestException.notFound("the failure domain is not known"));
              requireBase(s, base);
              if (d.inService() == inService) {
                ObjectNode unchanged = Answers.JSON.createObjectNode();
                unchanged.put("committed", false).put("version", s.version());
                return CompletableFuture.completedFuture(
                    unchanged.put("message", "the failure domain is in this state already"));
              }
              return commitManifest(s, s.manifest().get().withInService(domain, inService), author);
            });
  }

  /** Returns all errors of a manifest and the changes that it would make, without committing it. */
  CompletableFuture<ObjectNode> check(byte[] body) {
    return readStoredOrCurrent()
        .thenApply(
            base -> {
              ManifestResult r = ManifestReader.readNext(body, base);
              ObjectNode n = Answers.JSON.createObjectNode();
              n.put("valid", r.problems().isEmpty());
              n.put("baseVersion", base.map(Manifest::version).orElse(0L));
              n.set("problems", Answers.problems(r.problems()));
              r.manifest().ifPresent(m -> n.set("changes", changes(base, m)));
              return n;
            });
  }

  /** Returns the changes that a manifest would make, whatever its version. */
  CompletableFuture<ObjectNode> diff(byte[] body) {
    Manifest other = requireValid(ManifestReader.read(body));
    return readStoredOrCurrent()
        .thenApply(
            base -> {
              ObjectNode n = Answers.JSON.createObjectNode();
              n.put("baseVersion", base.map(Manifest::version).orElse(0L));
              n.set("changes", changes(base, other));
              return n;
            });
  }

  /** Returns the manifest from the store, or the manifest in force if the store does not answer. */
  CompletableFuture<Optional<Manifest>> readStoredOrCurrent() {
    return committer.readBase().handle((s, e) -> e != null ? currentManifest.get() : s.manifest());
  }

  private CompletableFuture<Base> readBase() {
    return committer
        .readBase()
        .handle(
            (s, e) -> {
              if (e != null) {
                throw new RequestException(
                    HttpStatus.SERVICE_UNAVAILABLE,
                    "unavailable",
                    "",
                    "the store does not answer; nothing was changed",
                    true);
              }
              return s;
            });
  }

  private void requireBase(Base s, long base) {
    if (s.version() != base) {
      throw conflict(s.manifest(), base);
    }
  }

  private static RequestException conflict(Optional<Manifest> winner, long base) {
    String state =
        winner
            .map(
                m ->
                    "version "
                        + m.version()
                        + " was committed by "
                        + (m.commit().author().isEmpty()
                            ? "an unknown author"
                            : m.commit().author())
                        + " at "
                        + Instant.ofEpochMilli(m.commit().committedMillis()))
            .orElse("no manifest has been committed");
    return new RequestException(
        HttpStatus.CONFLICT,
        "conflict",
        "version",
        "the change is based on version " + base + ", but " + state,
        false);
  }

  private CompletableFuture<ObjectNode> commitManifest(Base s, Manifest next, String author) {
    Manifest m = next.withCommit(new Commit(author, time.wallMillis()));
    byte[] value = JsonCodec.encode(m);
    if (value.length > ManifestReader.MAX_BYTES) {
      throw RequestException.invalid(
          List.of(
              new JsonProblem("$", "must have at most " + ManifestReader.MAX_BYTES + " bytes")));
    }
    return committer
        .commit(s, m)
        .handle(
            (r, e) -> {
              Throwable cause = Failures.cause(e);
              if (cause instanceof StoreUnavailableException) {
                throw outcomeUnknown(m);
              } else if (cause != null) {
                throw new CompletionException(cause);
              }
              if (!r.committed()) {
                throw conflict(r.winner(), s.version());
              }
              return committedBody(s, m);
            });
  }

  private static RequestException outcomeUnknown(Manifest m) {
    return new RequestException(
        HttpStatus.SERVICE_UNAVAILABLE,
        "unknown",
        "",
        "the store's answer was lost; whether version "
            + m.version()
            + " was committed is not known. Show the manifest when the store answers: it was if"
            + " version "
            + m.version()
            + " is by "
            + m.commit().author()
            + " at "
            + Instant.ofEpochMilli(m.commit().committedMillis())
            + "; the same change can be sent again, it is carried out at most once",
        true);
  }

  private static ObjectNode committedBody(Base s, Manifest m) {
    ObjectNode n = Answers.JSON.createObjectNode();
    n.put("committed", true).put("version", m.version());
    n.put("author", m.commit().author()).put("committedMillis", m.commit().committedMillis());
    n.set("changes", changes(s.manifest(), m));
    return n;
  }

  private static ArrayNode changes(Optional<Manifest> base, Manifest next) {
    Manifest empty = new Manifest(0, next.cell(), List.of(), List.of(), List.of(), List.of());
    ArrayNode list = Answers.JSON.createArrayNode();
    for (ManifestChange c : ManifestDiff.between(base.orElse(empty), next)) {
      list.addObject()
          .put("kind", c.kind())
          .put("subject", c.subject())
          .put("before", c.before())
          .put("after", c.after());
    }
    return list;
  }

  private static long baseVersion(byte[] body) {
    JsonProblems problems = new JsonProblems();
    Optional<JsonFields> f = problems.parse(body);
    long base = f.map(x -> x.number("baseVersion", 0, Long.MAX_VALUE - 1)).orElse(0L);
    f.ifPresent(JsonFields::rejectUnknownFields);
    if (!problems.list().isEmpty()) {
      throw RequestException.invalid(problems.list());
    }
    return base;
  }

  private static Manifest requireValid(ManifestResult r) {
    return r.manifest().orElseThrow(() -> RequestException.invalid(r.problems()));
  }
}
