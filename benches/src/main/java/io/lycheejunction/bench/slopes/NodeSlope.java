package io.lycheejunction.bench.slopes;

import io.lycheejunction.bench.load.Figures.Figure;
import io.lycheejunction.bench.load.ProcessUsage;
import io.lycheejunction.core.clock.RuntimeClock;
import java.lang.ref.Reference;
import java.util.List;

/**
 * Measures the group watcher and the holder of an idle proxy by number of groups, without sockets.
 */
final class NodeSlope implements Slope {
  private static final long WARM_UP_MS = 500;
  private static final long MEASUREMENT_MS = 2_000;
  private static final long TICK_MS = 50;
  private static final int TICKS_PER_REBALANCE = 2;

  private final RuntimeClock clock;

  NodeSlope(RuntimeClock clock) {
    this.clock = clock;
  }

  @Override
  public String name() {
    return "role=watcher+holder driver=instances";
  }

  @Override
  public List<Integer> sizes() {
    return List.of(2, 7, 28);
  }

  @Override
  public List<Figure> measure(int size) throws InterruptedException {
    final long heapBefore = ProcessUsage.heapBytes();
    StaticTargets targets = new StaticTargets();
    Node node = Node.of(size, targets, clock);
    run(node, WARM_UP_MS);
    final long heapBytes = ProcessUsage.heapBytes() - heapBefore;
    final long messagesBefore = targets.messageCounter().messages();
    final long bytesBefore = targets.messageCounter().bytes();
    ProcessUsage before = ProcessUsage.now();
    run(node, MEASUREMENT_MS);
    ProcessUsage after = ProcessUsage.now();
    double seconds = (after.atNs() - before.atNs()) / 1e9;
    Reference.reachabilityFence(node);
    return List.of(
        new Figure("heap_bytes", heapBytes),
        new Figure(
            "messages_per_s", (targets.messageCounter().messages() - messagesBefore) / seconds),
        new Figure("bytes_per_s", (targets.messageCounter().bytes() - bytesBefore) / seconds),
        new Figure("cpu_us_per_s", after.cpuMicrosSince(before) / seconds));
  }

  private void run(Node node, long durationMs) throws InterruptedException {
    for (int tick = 0; tick < durationMs / TICK_MS; tick++) {
      node.groups().tick();
      if (tick % TICKS_PER_REBALANCE == 0) {
        node.holders().rebalance();
      }
      clock.sleepMs(TICK_MS);
    }
  }
}
