package dev.dandelionport.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.linecorp.armeria.client.WebClient;
import dev.dandelionport.standin.Platform;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks a running instance against the process constraints in section 3 of docs/design.md. */
class ProcessConstraintsTest {

  private static final long MAX_RESIDENT_KILOBYTES = 256 << 10;

  @TempDir private Path temp;
  private Platform platform;
  private int port;

  @BeforeEach
  void startPlatform() {
    Map<String, Long> capacity =
        Map.of("slots", 8L, "connections", 64L, "milliCores", 64_000L, "memoryMb", 131_072L);
    List<String> domains = List.of("fd-a", "fd-b", "fd-c");
    Platform.Fleet fleet = new Platform.Fleet("tallinn", domains, 30, 1, capacity);
    platform = new Platform("127.0.0.1", 0, fleet);
    port = platform.start();
  }

  @AfterEach
  void stopPlatform() {
    platform.close();
  }

  // Guards against libraries that start child processes, map shared memory, unpack native code or
  // write files, all of which the platform forbids, and against exceeding the memory limit of a
  // node.
  @Test
  void daemonStaysWithinPlatformConstraints() throws Exception {
    refreshAccessTimes();
    try (Daemon d = new Daemon(temp.resolve("entry-1"), port)) {
      d.awaitServing();
      d.commitManifest();
      d.awaitReady();
      for (int i = 0; i < 50; i++) {
        d.submit("facts-" + i, 1);
      }
      assertThat(d.state("facts-49")).isEqualTo("succeeded");

      assertThat(d.childProcessCount()).isZero();
      assertThat(d.descriptors()).noneMatch(t -> t.contains("io_uring"));
      List<String> maps = d.readProcFile("maps");
      assertThat(maps)
          .noneMatch(l -> l.contains("/dev/shm") || l.contains("/SYSV") || l.contains("memfd"))
          .noneMatch(l -> l.contains("hsperfdata"))
          .noneMatch(l -> l.split(" +")[1].matches(".w.s"));
      assertThat(libraries(maps)).allMatch(ProcessConstraintsTest::isSystemLibrary);
      assertThat(d.filesWritten()).isEmpty();
      assertThat(d.readProcNumber("io", "write_bytes:")).isZero();
      assertThat(d.readProcNumber("status", "VmRSS:")).isLessThan(MAX_RESIDENT_KILOBYTES);

      assertThat(d.terminate()).isZero();
      assertThat(d.filesWritten()).isEmpty();
      // The JVM prints one line that is not JSON, about the JAVA_TOOL_OPTIONS of this test.
      assertThat(d.output).filteredOn(l -> !l.startsWith("Picked up ")).allMatch(isJson());
      assertThat(d.output).anyMatch(l -> l.contains("\"event\":\"DP1004\""));
    }
  }

  /**
   * Reads a byte of each file of the program and of the JVM. Linux counts the update of a file's
   * access time as bytes written by the process that reads the file, so the daemon must not be the
   * first reader.
   */
  private static void refreshAccessTimes() throws IOException {
    List<Path> roots = new ArrayList<>(List.of(Path.of("..", "bin")));
    roots.add(Path.of(System.getProperty("java.home")));
    String classPath = System.getProperty("surefire.test.class.path");
    Stream.of(classPath.split(File.pathSeparator)).map(Path::of).forEach(roots::add);
    for (Path root : roots) {
      try (Stream<Path> files = Files.walk(root)) {
        for (Path f : files.filter(Files::isRegularFile).toList()) {
          try (InputStream in = Files.newInputStream(f)) {
            in.read();
          }
        }
      }
    }
  }

  private static Predicate<String> isJson() {
    return l -> l.startsWith("{") && l.endsWith("}");
  }

  private static List<String> libraries(List<String> maps) {
    return maps.stream()
        .map(l -> l.substring(l.indexOf('/') < 0 ? l.length() : l.indexOf('/')))
        .filter(p -> p.contains(".so"))
        .distinct()
        .toList();
  }

  private static boolean isSystemLibrary(String library) {
    return library.startsWith(System.getProperty("java.home"))
        || library.startsWith("/usr/lib")
        || library.startsWith("/lib");
  }

  // Guards against a graceful stop that loses accepted jobs or exits with a failure status.
  @Test
  void terminatedDaemonLosesNoAcceptedJob() throws Exception {
    List<String> accepted = new ArrayList<>();
    try (Daemon d = new Daemon(temp.resolve("entry-1"), port)) {
      d.awaitServing();
      d.commitManifest();
      d.awaitReady();
      for (int i = 0; i < 40; i++) {
        String key = "stop-" + i;
        if (d.submit(key, i % 2 == 0 ? 1 : 1_500) == 202) {
          accepted.add(key);
        }
      }
      assertThat(d.terminate()).isZero();
    }
    assertThat(accepted).hasSizeGreaterThan(10);
    try (Daemon d = new Daemon(temp.resolve("entry-2"), port)) {
      d.awaitReady();
      for (String key : accepted) {
        assertThat(d.state(key)).as(key).isEqualTo("succeeded");
      }
      assertThat(d.terminate()).isZero();
    }
  }

  // Guards against a graceful stop that fails, or waits for the timeouts of all retries, when the
  // store has already stopped or no longer responds.
  @ParameterizedTest
  @ValueSource(strings = {"gone", "silent"})
  void terminatedDaemonStopsWithoutTheStore(String store) throws Exception {
    try (Daemon d = new Daemon(temp.resolve("entry-1"), port)) {
      d.awaitServing();
      d.commitManifest();
      d.awaitReady();
      assertThat(d.submit("stop-0", 60_000)).isEqualTo(202);
      if (store.equals("gone")) {
        platform.close();
      } else {
        String fault = "{\"delayMillis\": 600000}";
        WebClient.of("http://127.0.0.1:" + port).post("/standin/faults", fault).aggregate().join();
      }
      assertThat(d.terminate()).as(String.join("\n", d.output)).isZero();
      assertThat(d.output).anyMatch(l -> l.contains("\"event\":\"DP1004\""));
    }
  }
}
