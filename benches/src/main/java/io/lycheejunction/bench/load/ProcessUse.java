package io.lycheejunction.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What this process has used.
 *
 * @param cpuNs the processor time, in nanoseconds
 * @param atNs the time of the reading, in nanoseconds
 */
public record ProcessUse(long cpuNs, long atNs) {
  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT = "VmRSS:";
  private static final long BYTES_PER_KB = 1_024;

  /**
   * Returns the use up to now.
   *
   * @return the use
   */
  public static ProcessUse now() {
    var system =
        (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new ProcessUse(system.getProcessCpuTime(), System.nanoTime());
  }

  /**
   * Returns the processor time since an earlier reading.
   *
   * @param earlier the earlier reading
   * @return the time in microseconds
   */
  public double cpuMicrosSince(ProcessUse earlier) {
    return (cpuNs - earlier.cpuNs) / 1e3;
  }

  /**
   * Returns the processor time for each unit of time since an earlier reading.
   *
   * @param earlier the earlier reading
   * @return the number of cores
   */
  public double coresSince(ProcessUse earlier) {
    return (double) (cpuNs - earlier.cpuNs) / (atNs - earlier.atNs);
  }

  /**
   * Returns the heap in use after a garbage collection.
   *
   * @return the size in bytes
   */
  public static long heapBytes() {
    System.gc();
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /**
   * Returns the resident memory of the process.
   *
   * @return the size in bytes, 0 if the system does not tell it
   */
  public static long residentBytes() {
    if (!Files.exists(STATUS)) {
      return 0;
    }
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(line -> line.startsWith(RESIDENT))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KB)
          .sum();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
