package io.lycheejunction.gateway.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * The refusals of holders, by organisation, on a VM that forwards statements.
 *
 * <p>An organisation is refused locally for a short time only: the holder has stated when the
 * refused operation may come back, but it may have room for another one before, and other holders,
 * which run the statements of other services, may have room now.
 */
final class RefusalCache {
  /**
   * The longest time for which a refusal counts for further operations, in milliseconds. It bounds
   * the messages of an organisation beyond its quota to one burst in this time.
   */
  static final long MAX_MS = 50;

  private record Refusal(long refusedUntilMs, long statedUntilMs) {}

  private final Map<String, Refusal> refusals = new HashMap<>();

  /**
   * Returns the time after which a refused operation may come back, in milliseconds; 0 if the
   * organisation is not refused now.
   */
  long refusedForMs(String organisation, long nowMs) {
    Refusal refusal = refusals.get(organisation);
    if (refusal == null) {
      return 0;
    }
    if (nowMs >= refusal.refusedUntilMs()) {
      refusals.remove(organisation);
      return 0;
    }
    return refusal.statedUntilMs() - nowMs;
  }

  void recordRefusal(String organisation, long retryAfterMs, long nowMs) {
    long statedMs = Math.clamp(retryAfterMs, 0, OrganisationQuota.MAX_RETRY_MS);
    refusals.put(organisation, new Refusal(nowMs + Math.min(statedMs, MAX_MS), nowMs + statedMs));
  }

  void clear() {
    refusals.clear();
  }
}
