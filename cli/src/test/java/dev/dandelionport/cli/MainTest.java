package dev.dandelionport.cli;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import dev.dandelionport.node.version.KeyIndex;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

class MainTest {

  private static final ObjectMapper JSON = new ObjectMapper();

  @TempDir static Path folder;
  private static LocalCell cell;
  private static String urls;

  /** Exit status and output of one command. */
  private record Run(int status, String out, String err) {}

  @BeforeAll
  static void start() throws Exception {
    // The instances run in this process, so their log would mix with the command output.
    ((Logger) LoggerFactory.getLogger("dev.dandelionport")).setLevel(Level.OFF);
    cell = new LocalCell(folder, 0, 2, 6);
    urls = String.join(",", cell.urls());
    cell.commitManifest();
    for (int i = 0; i < 2_400 && statusIfServing().status() != 0; i++) {
      Thread.sleep(50);
    }
  }

  @AfterAll
  static void stop() {
    cell.close();
    ((Logger) LoggerFactory.getLogger("dev.dandelionport")).setLevel(null);
  }

  /** Runs 'status'; the exit status is 1 until at least one partition has a live owner. */
  private static Run statusIfServing() throws Exception {
    Run r = runAsOperator("status", "--json");
    boolean served = r.out().contains("\"ownerLive\" : true");
    return served ? r : new Run(1, r.out(), r.err());
  }

  private static Run runAsOperator(String... args) throws Exception {
    return runWithKey("operator", args);
  }

  private static Run runWithKey(String key, String... args) throws Exception {
    List<String> all = new ArrayList<>(List.of(args));
    all.addAll(List.of("--url", urls, "--key-file", cell.keyFile(key).toString()));
    return run(all.toArray(String[]::new));
  }

  private static Run run(String... args) throws Exception {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    ByteArrayOutputStream err = new ByteArrayOutputStream();
    PrintStream realOut = System.out;
    PrintStream realErr = System.err;
    System.setOut(new PrintStream(out, true, StandardCharsets.UTF_8));
    System.setErr(new PrintStream(err, true, StandardCharsets.UTF_8));
    try {
      int status = Main.run(args);
      return new Run(
          status, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    } finally {
      System.setOut(realOut);
      System.setErr(realErr);
    }
  }

  private static Path writeFile(String name, String text) throws Exception {
    return Files.writeString(folder.resolve(name), text);
  }

  private static String committedManifest() throws Exception {
    return runAsOperator("manifest", "show").out();
  }

  /** Guards against usage errors that print a stack trace or exit with the status of success. */
  @Test
  void usageErrorPointsToTheHelp() throws Exception {
    Run missing = run("manifest", "check");
    assertThat(missing.status()).isEqualTo(ExitStatus.USAGE);
    assertThat(missing.err()).contains("'file'", "dandelionport help manifest check");
    assertThat(run("bogus").status()).isEqualTo(ExitStatus.USAGE);
    assertThat(run("manifest", "check", "/none").status()).isEqualTo(ExitStatus.USAGE);
    assertThat(run("instance", "--settings", "/none").status()).isEqualTo(ExitStatus.USAGE);
    assertThat(run("status", "--key-file", "/none").status()).isEqualTo(ExitStatus.USAGE);
    Run help = run("manifest", "commit", "--help");
    assertThat(help.status()).isEqualTo(ExitStatus.DONE);
    assertThat(help.out()).contains("--wait-seconds", "DANDELIONPORT_KEY_FILE");
  }

  /** Guards against a check that reports only the first error of a manifest. */
  @Test
  void checkListsEveryErrorWithItsPath() throws Exception {
    String bad = committedManifest().replace("\"limit\" : 64", "\"limit\" : -4, \"x\" : 1");
    Run r = run("manifest", "check", writeFile("bad.json", bad).toString());
    assertThat(r.status()).isEqualTo(ExitStatus.REFUSED);
    assertThat(r.out())
        .contains("$.teams[0].limit: ", "$.teams[0].x: ", "$.teams[1].limit: ", "4 errors");
  }

  /**
   * Guards against a commit that overwrites a concurrent one, or that returns before all instances
   * apply it.
   */
  @Test
  void commitIsConditionalAndWaitsForAllInstances() throws Exception {
    JsonNode m = JSON.readTree(committedManifest());
    long next = m.path("version").asLong() + 1;
    String text =
        committedManifest()
            .replaceFirst("\"version\" : [0-9]+", "\"version\" : " + next)
            .replaceFirst("\"share\" : 1.0", "\"share\" : 2.0");
    Path file = writeFile("next.json", text);
    assertThat(runAsOperator("manifest", "check", file.toString()).out())
        .contains("team_share bakery");
    Path old = writeFile("old.json", committedManifest());
    assertThat(run("manifest", "diff", old.toString(), file.toString()).out())
        .contains("1 change", "team_share bakery: 1.0 -> 2.0");
    Run committed = runAsOperator("manifest", "commit", file.toString());
    assertThat(committed.status()).as(committed.err()).isEqualTo(ExitStatus.DONE);
    assertThat(committed.out()).contains("committed version " + next + " by operator at ");
    assertThat(committed.err()).contains("in force on all 2 members");
    Run conflicting = runAsOperator("manifest", "commit", file.toString());
    assertThat(conflicting.status()).isEqualTo(ExitStatus.CONFLICT);
    assertThat(conflicting.err()).contains("version " + next + " was committed by operator");
    assertThat(runWithKey("bakery", "manifest", "show").status()).isEqualTo(ExitStatus.REFUSED);
  }

  /**
   * Guards against a drained failure domain that cannot be returned to service, and against changes
   * based on an old manifest version.
   */
  @Test
  void drainsAndReturnsFailureDomains() throws Exception {
    Run drained = runAsOperator("domain", "drain", "fd-b");
    assertThat(drained.status()).as(drained.err()).isEqualTo(ExitStatus.DONE);
    assertThat(drained.out()).contains("failure_domain_drained fd-b");
    Run stale = runAsOperator("domain", "return", "fd-b", "--base-version", "1");
    assertThat(stale.status()).isEqualTo(ExitStatus.CONFLICT);
    assertThat(runAsOperator("domain", "return", "fd-b").status()).isEqualTo(ExitStatus.DONE);
    assertThat(runAsOperator("domain", "wait", "fd-b").status()).isEqualTo(ExitStatus.REFUSED);
    assertThat(runAsOperator("domain", "drain", "fd-x").status()).isEqualTo(ExitStatus.REFUSED);
  }

  /** Guards against job commands whose exit status does not reflect the state of the job. */
  @Test
  void submitsAwaitsAndExplainsJobs() throws Exception {
    long deadline = System.currentTimeMillis() + 600_000;
    String job =
        "{\"requestKey\":\"m-1\",\"workloadClass\":\"deferrable\",\"repeatable\":true,"
            + "\"payload\":\"run=30\",\"deadlineMillis\":"
            + deadline
            + "}";
    Path file = writeFile("job.json", job);
    Run submitted = runWithKey("bakery", "job", "submit", file.toString());
    assertThat(submitted.status()).as(submitted.err()).isEqualTo(ExitStatus.DONE);
    assertThat(runWithKey("bakery", "job", "await", "m-1").out()).startsWith("m-1: succeeded");
    assertThat(runWithKey("dryers", "job", "show", "m-1").status()).isEqualTo(ExitStatus.REFUSED);
    assertThat(runAsOperator("explain", "bakery", "m-1").out()).contains("bakery/m-1 on partition");
    Run bad = runWithKey("bakery", "job", "submit", writeFile("b.json", "{}").toString());
    assertThat(bad.status()).isEqualTo(ExitStatus.REFUSED);
    assertThat(bad.err()).contains("$.requestKey", "$.repeatable");
  }

  /**
   * Guards against 'domain wait' reporting a drained failure domain as empty while tasks run in it,
   * after which an operator would switch it off.
   */
  @Test
  void waitsUntilDomainIsEmptyAndExplainsWaitingWork() throws Exception {
    String job =
        "{\"requestKey\":\"%s\",\"workloadClass\":\"service\",\"repeatable\":true,"
            + "\"payload\":\"run=600000\",\"milliCores\":64000,\"tasks\":%d}";
    Path runningJob = writeFile("runs.json", String.format(job, "svc-runs", 6));
    assertThat(runWithKey("dryers", "job", "submit", runningJob.toString()).status()).isZero();
    Path waitingJob = writeFile("waits.json", String.format(job, "svc-waits", 6));
    assertThat(runWithKey("dryers", "job", "submit", waitingJob.toString()).status()).isZero();
    assertThat(runAsOperator("explain", "dryers", "svc-waits").out())
        .contains("state:  queued", "  not on worker-", "has too little room");
    assertThat(runAsOperator("domain", "drain", "fd-c").status()).isZero();
    assertThat(runWithKey("dryers", "job", "cancel", "svc-runs").status()).isZero();
    assertThat(runWithKey("dryers", "job", "cancel", "svc-waits").status()).isZero();
    Run empty = runAsOperator("domain", "wait", "fd-c");
    assertThat(empty.status()).as(empty.err()).isZero();
    assertThat(empty.out()).contains("fd-c runs no task");
    assertThat(runAsOperator("domain", "return", "fd-c").status()).isZero();
    JsonNode status = JSON.readTree(runAsOperator("status", "--json").out());
    long version = status.path("manifest").path("version").asLong();
    for (JsonNode i : status.path("instances")) {
      assertThat(i.path("manifestVersion").asLong()).as(status.toString()).isEqualTo(version);
    }
  }

  /** Guards against a new key whose manifest entry does not contain the hash of its secret. */
  @Test
  void newKeyMatchesItsManifestEntry() throws Exception {
    JsonNode n = JSON.readTree(run("key", "new", "--id", "k9", "--json").out());
    String secret = n.path("key").asText().substring("k9.".length());
    String salt = n.path("entry").path("salt").asText();
    assertThat(KeyIndex.hash(salt, secret)).isEqualTo(n.path("entry").path("hash").asText());
    assertThat(run("key", "new", "--id", "K9").status()).isEqualTo(ExitStatus.USAGE);
  }

  /** Guards against a status output without the instances and the owners of partitions. */
  @Test
  void statusListsInstancesAndPartitions() throws Exception {
    assertThat(runAsOperator("status").out())
        .contains("INSTANCE", "entry-1-", "local-0", "fd-c", "dryers");
    Run none = run("status", "--url", "http://127.0.0.1:1");
    assertThat(none.status()).isEqualTo(ExitStatus.UNKNOWN);
  }
}
