package io.lycheejunction.core.burn;

import com.google.common.hash.Hashing;
import io.lycheejunction.core.port.Vm;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the one proxy that aggregates the counts of an hour, by rendezvous hashing. */
public final class HourAggregatorSelection {
  private HourAggregatorSelection() {}

  /**
   * Returns the name of the proxy that aggregates the counts of an hour.
   *
   * @param hour the hour, in hours since the epoch
   * @param live the live proxies
   * @return the name, or empty if no proxy is live
   */
  public static Optional<String> of(long hour, List<Vm> live) {
    return live.stream()
        .map(Vm::name)
        .max(
            Comparator.comparingLong((String vm) -> score(vm, hour))
                .thenComparing(Comparator.naturalOrder()));
  }

  private static long score(String vm, long hour) {
    return Hashing.murmur3_128().hashString(vm + '\n' + hour, StandardCharsets.UTF_8).asLong();
  }
}
