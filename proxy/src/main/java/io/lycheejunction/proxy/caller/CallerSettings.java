package io.lycheejunction.proxy.caller;

import io.lycheejunction.common.settings.Setting;
import io.lycheejunction.common.settings.Settings;
import io.lycheejunction.core.key.KeyRetention;
import java.util.List;

/** The settings of the callers' interface. */
public final class CallerSettings {
  /** The name of the secret that signs session tokens. */
  public static final String SESSION_KEY = "session-key";

  private static final String DEFAULT_TIMEOUT_MS = "default-timeout-ms";
  private static final String MAX_TIMEOUT_MS = "max-timeout-ms";
  private static final String MAX_BODY_BYTES = "max-body-bytes";
  private static final String MAX_IN_FLIGHT = "max-in-flight";
  private static final String MAX_IDLE_MS = "max-idle-ms";
  private static final String KEY_RETENTION_MS = "key-retention-ms";
  private static final long HOUR_MS = 3_600_000;
  private static final long MONTH_MS = 31 * 24 * HOUR_MS;
  private static final CallerLimits DEFAULTS = CallerLimits.defaults();

  /** All settings of the callers' interface. */
  public static final List<Setting> ALL =
      List.of(
          Setting.secret(SESSION_KEY, "key that signs session tokens, the same on all proxies"),
          Setting.number(
              DEFAULT_TIMEOUT_MS,
              1,
              HOUR_MS,
              DEFAULTS.defaultTimeoutMs(),
              "deadline of a request that names none"),
          Setting.number(
              MAX_TIMEOUT_MS,
              1,
              HOUR_MS,
              DEFAULTS.maxTimeoutMs(),
              "longest deadline that a request may name"),
          Setting.number(
              MAX_BODY_BYTES, 1_024, 1 << 20, DEFAULTS.maxBodyBytes(), "largest body of a request"),
          Setting.number(
              MAX_IN_FLIGHT, 1, 1_000_000, DEFAULTS.maxInFlight(), "most requests in flight"),
          Setting.number(
              MAX_IDLE_MS, 1, HOUR_MS, DEFAULTS.maxIdleMs(), "longest idle limit of a transaction"),
          Setting.number(
              KEY_RETENTION_MS,
              HOUR_MS,
              MONTH_MS,
              DEFAULTS.retention().maxAgeMs(),
              "age up to which the ledgers keep idempotency keys"));

  private CallerSettings() {}

  /**
   * Returns the limits that the settings define.
   *
   * @param settings the validated settings
   * @return the limits
   */
  public static CallerLimits limits(Settings settings) {
    return new CallerLimits(
        settings.number(DEFAULT_TIMEOUT_MS),
        settings.number(MAX_TIMEOUT_MS),
        (int) settings.number(MAX_BODY_BYTES),
        (int) settings.number(MAX_IN_FLIGHT),
        settings.number(MAX_IDLE_MS),
        DEFAULTS.maxUnsettled(),
        new KeyRetention(settings.number(KEY_RETENTION_MS), DEFAULTS.retention().maxAheadMs()));
  }
}
