package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.ResultCode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts the answers other than done that this proxy gave, by service and code. */
public final class Refusals {
  private record Kind(String service, ResultCode code) {}

  /**
   * The number of answers of one kind.
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

  private final Map<Kind, LongAdder> adders = new ConcurrentHashMap<>();

  /**
   * Counts an answer, unless it is done.
   *
   * @param service the service
   * @param code the result code
   */
  void record(String service, ResultCode code) {
    if (code != ResultCode.DONE) {
      adders.computeIfAbsent(new Kind(service, code), kind -> new LongAdder()).increment();
    }
  }

  /**
   * Returns the counts.
   *
   * @return the counts, ordered by service and code
   */
  public List<Count> counts() {
    List<Count> counts = new ArrayList<>();
    adders.forEach((kind, n) -> counts.add(new Count(kind.service(), kind.code(), n.sum())));
    counts.sort(Comparator.comparing(Count::service).thenComparing(Count::code));
    return counts;
  }
}
