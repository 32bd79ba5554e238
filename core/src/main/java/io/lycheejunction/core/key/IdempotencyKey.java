package io.lycheejunction.core.key;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Locale;
import java.util.Objects;
import java.util.UUID;
import java.util.regex.Pattern;

/**
 * An idempotency key: a UUID of version 7, whose first 48 bits are its creation time.
 *
 * @param text the UUID in lower case with hyphens
 * @param createdWallMs the time of creation, in milliseconds since the epoch
 */
public record IdempotencyKey(String text, long createdWallMs) {
  private static final Pattern UUID_V7 =
      Pattern.compile("[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}");
  private static final int TIME_SHIFT_BITS = 16;

  /** Rejects a null text. */
  public IdempotencyKey {
    Objects.requireNonNull(text, "text is null");
  }

  /**
   * Parses a key.
   *
   * @param text the value of the request header
   * @return the key, or {@code BAD_KEY} if the text is not a UUID of version 7
   */
  public static Result<IdempotencyKey> parse(String text) {
    Objects.requireNonNull(text, "text is null");
    String canonical = text.toLowerCase(Locale.ROOT);
    if (!UUID_V7.matcher(canonical).matches()) {
      return Result.failure(ResultCode.BAD_KEY, "the key is not a UUID of version 7");
    }
    long createdWallMs = UUID.fromString(canonical).getMostSignificantBits() >>> TIME_SHIFT_BITS;
    return Result.success(new IdempotencyKey(canonical, createdWallMs));
  }

  /**
   * Returns this key if the ledgers keep keys of its age.
   *
   * @param nowWallMs the wall-clock time, in milliseconds since the epoch
   * @param retention the accepted ages of keys
   * @return this key, {@code KEY_EXPIRED} if it is too old, or {@code BAD_KEY} if it was created
   *     too far in the future
   */
  public Result<IdempotencyKey> checkAge(long nowWallMs, KeyRetention retention) {
    long ageMs = nowWallMs - createdWallMs;
    if (ageMs > retention.maxAgeMs()) {
      return Result.failure(ResultCode.KEY_EXPIRED, "the key is older than the retention time");
    }
    if (-ageMs > retention.maxAheadMs()) {
      return Result.failure(ResultCode.BAD_KEY, "the key was created too far in the future");
    }
    return Result.success(this);
  }
}
