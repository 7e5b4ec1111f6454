package dev.dandelionport.node.process;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/** Metrics of this process from the operating system and the virtual machine. */
final class ProcessMetrics {

  private static final double NANOS_PER_SECOND = 1e9;

  private ProcessMetrics() {}

  /** Registers the metrics of the process. */
  static void register(InstanceMetrics metrics) {
    metrics.registerSource(MetricSpec.WRITTEN_BYTES, () -> procField("io", "wchar:", 1));
    metrics.registerSource(MetricSpec.RESIDENT_BYTES, () -> procField("status", "VmRSS:", 1024));
    metrics.registerSource(MetricSpec.CPU_TIME, ProcessMetrics::cpuSeconds);
    metrics.registerSource(
        MetricSpec.HEAP_BYTES,
        () -> ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed());
    metrics.registerSource(
        MetricSpec.THREADS, () -> ManagementFactory.getThreadMXBean().getThreadCount());
  }

  /** Returns a number from a file in /proc/self times {@code factor}, or 0 if it cannot be read. */
  static double procField(String file, String name, double factor) {
    try {
      for (String line : Files.readAllLines(Path.of("/proc/self", file))) {
        if (line.startsWith(name)) {
          return Long.parseLong(line.substring(name.length()).strip().split(" ")[0]) * factor;
        }
      }
    } catch (IOException e) {
      return 0;
    }
    return 0;
  }

  private static double cpuSeconds() {
    return ProcessHandle.current()
        .info()
        .totalCpuDuration()
        .map(d -> d.toNanos() / NANOS_PER_SECOND)
        .orElse(0.0);
  }
}
