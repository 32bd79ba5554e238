package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the answers other than {@code DONE} that this proxy gave, by service and result code. */
public final class FaultCounts {
  private record Key(String service, ResultCode code) {}

  /**
   * The number of answers with one service and result code.
   *
   * @param service the service, {@code -} if the caller named none that exists
   * @param code the result code
   * @param count the number of answers since the start of the proxy
   */
  public record Count(String service, ResultCode code, long count) {
    /** Rejects null components. */
    public Count {
      Objects.requireNonNull(service, "service is null");
      Objects.requireNonNull(code, "code is null");
    }
  }

  private final Map<Key, LongAdder> counters = new ConcurrentHashMap<>();

  /**
   * Counts an answer, unless it is {@code DONE}.
   *
   * @param service the service
   * @param code the result code
   */
  void record(String service, ResultCode code) {
    if (code != ResultCode.DONE) {
      counters.computeIfAbsent(new Key(service, code), key -> new LongAdder()).increment();
    }
  }

  /**
   * Returns the counts.
   *
   * @return the counts, ordered by service and code
   */
  public List<Count> counts() {
    List<Count> counts = new ArrayList<>();
    counters.forEach(
        (key, counter) -> counts.add(new Count(key.service(), key.code(), counter.sum())));
    counts.sort(Comparator.comparing(Count::service).thenComparing(Count::code));
    return counts;
  }
}
