package dev.dandelionport.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.linecorp.armeria.common.HttpResponse;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.MediaType;
import com.linecorp.armeria.server.Server;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the wait for a manifest version against a server that returns prepared responses. */
@Timeout(120)
class VersionWaitTest {

  private static final String MEMBER = "{\"id\":\"%s\",\"live\":%s%s}";

  private final Queue<HttpResponse> responses = new ConcurrentLinkedQueue<>();
  private Server server;
  private ApiClient client;

  @BeforeEach
  void start() {
    server =
        Server.builder()
            .http(new InetSocketAddress("127.0.0.1", 0))
            .service("/v1/operator/status", (c, r) -> responses.remove())
            .build();
    server.start().join();
    // Nothing listens on the first URL.
    String url = "http://127.0.0.1:" + server.activeLocalPort();
    client = new ApiClient(List.of("http://127.0.0.1:1", url), "", null);
  }

  @AfterEach
  void stop() {
    server.stop().join();
  }

  private static String member(String id, boolean live, int version) {
    String v = version == 0 ? "" : ",\"manifestVersion\":" + version;
    return MEMBER.formatted(id, live, v);
  }

  private void enqueueStatus(String... members) {
    String body = "{\"instance\":\"e1\",\"instances\":[" + String.join(",", members) + "]}";
    responses.add(HttpResponse.of(MediaType.JSON, body));
  }

  private String timeoutMessage() {
    CommandException e =
        catchThrowableOfType(CommandException.class, () -> new VersionWait(client, 7).await(0));
    assertThat(e.status()).isEqualTo(ExitStatus.TIMED_OUT);
    return e.getMessage();
  }

  /**
   * Guards against a wait that ends too early because it checks only the instances in --url and not
   * all members of the cell.
   */
  @Test
  void waitsForAllMembersThatTheCellLists() {
    enqueueStatus(member("e1", true, 7), member("e2", true, 6));
    enqueueStatus(member("e1", true, 7), member("e2", true, 0));
    responses.add(HttpResponse.of(HttpStatus.SERVICE_UNAVAILABLE));
    enqueueStatus();
    enqueueStatus(member("e1", true, 7), member("e2", true, 8));
    assertThat(new VersionWait(client, 7).await(100))
        .startsWith("manifest version 7 is in force on all 2 members, after ");
    assertThat(responses).isEmpty();
  }

  /** Guards against a timeout message that does not name the members without the change. */
  @Test
  void timeoutNamesMembersThatLackTheVersion() {
    enqueueStatus(member("e1", true, 7), member("e2", true, 6), member("e3", false, 0));
    assertThat(timeoutMessage())
        .isEqualTo(
            "manifest version 7 is committed, but not in force on e2 (has version 6),"
                + " e3 (does not answer, its lease has ended)");
    responses.add(HttpResponse.of(HttpStatus.UNAUTHORIZED));
    assertThat(timeoutMessage()).endsWith("no instance tells them (status 401)");
  }
}
