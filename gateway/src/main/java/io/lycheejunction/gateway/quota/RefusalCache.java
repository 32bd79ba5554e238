package io.lycheejunction.gateway.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * The refusals of holders, by organisation, on a VM that forwards statements.
 *
 * <p>An organisation is refused locally until the time that the holder has stated. Then one
 * operation is sent as a probe; the others follow once it was not refused, or after a short time,
 * since a holder refuses at once.
 */
final class RefusalCache {
  /** How long the other operations wait for the answer to the probe, in milliseconds. */
  static final long PROBE_MS = 100;

  /** The longest time for which a refusal is remembered, in milliseconds. */
  static final long MAX_MS = 5_000;

  private static final long MIN_RETRY_MS = 20;

  private final Map<String, Long> refusedUntilMs = new HashMap<>();
  private final Map<String, Long> probedMs = new HashMap<>();

  /** Returns the time until an organisation may send again, in milliseconds; 0 if it may now. */
  long refusedForMs(String organisation, long nowMs) {
    Long untilMs = refusedUntilMs.get(organisation);
    if (untilMs == null) {
      return 0;
    }
    if (nowMs < untilMs) {
      return untilMs - nowMs;
    }
    Long probeMs = probedMs.putIfAbsent(organisation, nowMs);
    if (probeMs == null) {
      return 0;
    }
    if (nowMs - probeMs >= PROBE_MS) {
      forget(organisation);
      return 0;
    }
    return Math.max(MIN_RETRY_MS, PROBE_MS - (nowMs - probeMs));
  }

  void recordRefusal(String organisation, long retryAfterMs, long nowMs) {
    long untilMs = nowMs + Math.clamp(retryAfterMs, 0, MAX_MS);
    refusedUntilMs.merge(organisation, untilMs, Math::max);
    probedMs.remove(organisation);
  }

  /** Records that an operation was not refused; only the answer to a probe ends the refusal. */
  void recordPassed(String organisation) {
    if (probedMs.containsKey(organisation)) {
      forget(organisation);
    }
  }

  void clear() {
    refusedUntilMs.clear();
    probedMs.clear();
  }

  private void forget(String organisation) {
    refusedUntilMs.remove(organisation);
    probedMs.remove(organisation);
  }
}
