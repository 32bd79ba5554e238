package io.lycheejunction.bench.load;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * A reading of the CPU time of this process.
 *
 * @param cpuNs the CPU time since the start of the process, in nanoseconds
 * @param atNs the monotonic time of the reading, in nanoseconds
 */
public record ProcessUsage(long cpuNs, long atNs) {
  private static final Path PROC_STATUS = Path.of("/proc/self/status");
  private static final String RESIDENT_SIZE_KEY = "VmRSS:";
  private static final long BYTES_PER_KB = 1_024;

  /**
   * Returns a reading taken now.
   *
   * @return the reading
   */
  public static ProcessUsage now() {
    var system =
        (com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new ProcessUsage(system.getProcessCpuTime(), System.nanoTime());
  }

  /**
   * Returns the CPU time used since an earlier reading.
   *
   * @param earlier the earlier reading
   * @return the CPU time in microseconds
   */
  public double cpuMicrosSince(ProcessUsage earlier) {
    return (cpuNs - earlier.cpuNs) / 1e3;
  }

  /**
   * Returns the average number of cores in use since an earlier reading.
   *
   * @param earlier the earlier reading
   * @return the CPU time divided by the elapsed time
   */
  public double coresSince(ProcessUsage earlier) {
    return (double) (cpuNs - earlier.cpuNs) / (atNs - earlier.atNs);
  }

  /**
   * Runs garbage collections and returns the heap in use after them.
   *
   * @return the size in bytes
   */
  public static long heapBytes() {
    System.gc();
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /**
   * Returns the resident set size of the process.
   *
   * @return the size in bytes, 0 if the system has no {@code /proc/self/status}
   */
  public static long residentBytes() {
    if (!Files.exists(PROC_STATUS)) {
      return 0;
    }
    try {
      return Files.readAllLines(PROC_STATUS).stream()
          .filter(line -> line.startsWith(RESIDENT_SIZE_KEY))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")) * BYTES_PER_KB)
          .sum();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
