import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.Map;

/**
 * Clients of the queue {@code /jobs/}: each submission is sent again, with the same id and to
 * another node, after no answer, a broken connection, a 502 or a 504, up to four times.
 */
final class Client {

  static final int TRIES = 5;
  static final long DEADLINE_MILLIS = 3_000;

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofMillis(1_000))
          .build();
  private final List<Node> nodes;
  private final Random random = new Random(1);
  private final String key;

  /** Time of the 2xx answer of each accepted job, by id. */
  final Map<String, Long> accepted = new ConcurrentHashMap<>();

  Client(List<Node> nodes, String key) {
    this.nodes = nodes;
    this.key = key;
  }

  /** Returns a new id of a job. */
  String newId() {
    synchronized (random) {
      return String.format("%016x", random.nextLong());
    }
  }

  /** Submits a job; completes with the last status, 0 for no answer. */
  CompletableFuture<Integer> submit(String id, String body) {
    return attempt(id, body, 1);
  }

  private CompletableFuture<Integer> attempt(String id, String body, int n) {
    Node node = nodes.get(ThreadLocalRandom.current().nextInt(nodes.size()));
    Log.line("client POST " + id + " try " + n + " to " + node.name());
    return call(node, "POST", id, body)
        .thenCompose(
            r -> {
              Log.line("client POST " + id + " try " + n + " answered " + r.status());
              if (r.status() / 100 == 2) {
                accepted.putIfAbsent(id, Log.now());
              }
              boolean again = r.status() == 0 || r.status() == 502 || r.status() == 504;
              return again && n < TRIES
                  ? attempt(id, body, n + 1)
                  : CompletableFuture.completedFuture(r.status());
            });
  }

  /** An answer; the status is 0 if there was none. */
  record Answer(int status, String body) {}

  /** Sends one call to a node. */
  CompletableFuture<Answer> call(Node node, String method, String id, String body) {
    HttpRequest r =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + node.callerPort + "/jobs/" + id))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .header("Authorization", "Bearer " + key)
            .header("Content-Type", "application/json")
            .header("Dandelionport-Deadline-Ms", Long.toString(DEADLINE_MILLIS))
            .timeout(Duration.ofMillis(DEADLINE_MILLIS))
            .build();
    return http.sendAsync(r, HttpResponse.BodyHandlers.ofString())
        .handle(
            (a, e) -> e == null ? new Answer(a.statusCode(), a.body()) : new Answer(0, ""));
  }

  /** Asks for the state of a job; empty if there was no answer with a state. */
  String state(String id) {
    for (Node n : nodes) {
      Answer a = call(n, "GET", id, "").join();
      if (a.status() == 200) {
        try {
          return Http.JSON.readTree(a.body()).path("state").asText();
        } catch (IOException e) {
          return "";
        }
      } else if (a.status() == 410) {
        return "410";
      }
    }
    return "";
  }

  /** Waits until each node reports itself ready and takes a call; false after 30 s. */
  boolean awaitReady() throws InterruptedException {
    long deadline = Log.now() + 30_000;
    for (Node n : nodes) {
      while (true) {
        if (Log.now() > deadline) {
          return false;
        }
        HttpRequest r =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + n.readinessPort() + "/readyz"))
                .timeout(Duration.ofMillis(500))
                .build();
        int ready =
            http.sendAsync(r, HttpResponse.BodyHandlers.ofString())
                .handle((a, e) -> e == null ? a.statusCode() : 0)
                .join();
        if (ready == 200 && call(n, "GET", "", "").join().status() == 200) {
          break;
        }
        Thread.sleep(100);
      }
    }
    return true;
  }
}
