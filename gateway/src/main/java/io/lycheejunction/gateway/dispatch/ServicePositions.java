package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.freshness.PrimaryPositionHistory;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.route.ReadRule;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** The proven log positions of all services. */
public final class ServicePositions {
  /** Safety margin added to the measured age of a position, in milliseconds. */
  static final long AGE_MARGIN_MS = 50;

  private static final long RETENTION_MS = 10_000;

  private final Map<String, PrimaryPositionHistory> byService = new HashMap<>();
  private long validFromMs = Long.MIN_VALUE;

  /** Creates a table without any positions. */
  public ServicePositions() {}

  /**
   * Returns the proven log positions of a service.
   *
   * @param service the name of the service
   * @return its positions, none at first
   */
  public PrimaryPositionHistory of(String service) {
    return byService.computeIfAbsent(service, name -> newServicePositions());
  }

  /**
   * Returns the log position that a read must see, if one was proven recently enough.
   *
   * @param service the name of the service
   * @param rule the consistency rule of the read
   * @param sessionCommit the log position of the latest commit of the read's session
   * @param nowMs the present time, in milliseconds
   * @return the position; empty if the read must go to the primary
   */
  public Optional<LogPosition> floor(
      String service, ReadRule rule, LogPosition sessionCommit, long nowMs) {
    return switch (rule) {
      case ReadRule.Latest latest -> Optional.empty();
      case ReadRule.Aged aged ->
          of(service).floor(nowMs, aged.maxAgeMs() - AGE_MARGIN_MS, LogPosition.ORIGIN);
      case ReadRule.OwnWrites own ->
          of(service).floor(nowMs, own.maxAgeMs() - AGE_MARGIN_MS, sessionCommit);
    };
  }

  /**
   * Drops all positions, and ignores answers to commands sent before now. Needed when the clock may
   * have skipped time, which makes measured ages too small.
   *
   * @param nowMs the present time, in milliseconds
   */
  public void invalidateBefore(long nowMs) {
    validFromMs = nowMs;
    byService.values().forEach(positions -> positions.invalidateBefore(nowMs));
  }

  private PrimaryPositionHistory newServicePositions() {
    PrimaryPositionHistory positions = new PrimaryPositionHistory(RETENTION_MS);
    if (validFromMs != Long.MIN_VALUE) {
      positions.invalidateBefore(validFromMs);
    }
    return positions;
  }
}
