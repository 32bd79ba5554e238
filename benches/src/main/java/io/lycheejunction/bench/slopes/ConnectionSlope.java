package io.lycheejunction.bench.slopes;

import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.IdleConnections;
import io.lycheejunction.bench.load.LocalSite;
import io.lycheejunction.bench.load.ProcessUsage;
import io.lycheejunction.core.clock.RuntimeClock;
import java.util.List;

/**
 * Measures the memory and CPU time of idle caller connections to one proxy; the callers run in this
 * process too, so their side is included.
 */
final class ConnectionSlope implements Slope {
  private static final long CPU_MEASUREMENT_MS = 500;

  private final LocalSite site;
  private final RuntimeClock clock;

  ConnectionSlope(LocalSite site, RuntimeClock clock) {
    this.site = site;
    this.clock = clock;
  }

  @Override
  public String name() {
    return "role=caller driver=connections";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(1_000, 3_000, 7_200);
  }

  @Override
  public List<Figure> measure(int size) throws InterruptedException {
    final long heapBefore = ProcessUsage.heapBytes();
    final long residentBefore = ProcessUsage.residentBytes();
    try (IdleConnections idle = IdleConnections.open(site.proxies().getFirst().address(), size)) {
      final long heapBytes = ProcessUsage.heapBytes() - heapBefore;
      final long residentBytes = ProcessUsage.residentBytes() - residentBefore;
      ProcessUsage before = ProcessUsage.now();
      clock.sleepMs(CPU_MEASUREMENT_MS);
      double cores = ProcessUsage.now().coresSince(before);
      return List.of(
          new Figure("heap_bytes", heapBytes),
          new Figure("resident_bytes", residentBytes),
          new Figure("cpu_us_per_s", cores * 1e6));
    }
  }
}
