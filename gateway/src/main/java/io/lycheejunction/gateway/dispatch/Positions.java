package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.freshness.ProvenPositions;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.route.ReadRule;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The proven positions of all services. */
public final class Positions {
  /** Ages are taken to be this much larger than measured, in milliseconds. */
  static final long MARGIN_MS = 50;

  private static final long KEPT_MS = 10_000;

  private final Map<String, ProvenPositions> byService = new HashMap<>();
  private long validFromMs = Long.MIN_VALUE;

  /** Creates a table without positions. */
  public Positions() {}

  /**
   * Returns the positions of a service.
   *
   * @param service the service
   * @return its positions
   */
  public ProvenPositions of(String service) {
    return byService.computeIfAbsent(service, name -> fresh());
  }

  /**
   * Returns the position that a read must see, if one is proven recently enough.
   *
   * @param service the service
   * @param rule the rule of the read
   * @param sessionCommit the latest commit of the read's session
   * @param nowMs the present time, in milliseconds
   * @return the position; empty if only the primary can tell
   */
  public Optional<LogPosition> floor(
      String service, ReadRule rule, LogPosition sessionCommit, long nowMs) {
    return switch (rule) {
      case ReadRule.Latest latest -> Optional.empty();
      case ReadRule.Aged aged ->
          of(service).floor(nowMs, aged.maxAgeMs() - MARGIN_MS, LogPosition.ORIGIN);
      case ReadRule.OwnWrites own ->
          of(service).floor(nowMs, own.maxAgeMs() - MARGIN_MS, sessionCommit);
    };
  }

  /**
   * Forgets everything that rests on measured ages.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void forget(long nowMs) {
    validFromMs = nowMs;
    byService.values().forEach(positions -> positions.forget(nowMs));
  }

  private ProvenPositions fresh() {
    ProvenPositions positions = new ProvenPositions(KEPT_MS);
    if (validFromMs != Long.MIN_VALUE) {
      positions.forget(validFromMs);
    }
    return positions;
  }
}
