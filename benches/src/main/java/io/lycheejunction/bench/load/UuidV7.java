package io.lycheejunction.bench.load;

import java.util.Random;
import java.util.UUID;

/** Generates version 7 UUIDs (RFC 9562) with random bits from a seeded source. */
public final class UuidV7 {
  private static final long VERSION_BITS = 0x7000L;
  private static final long VARIANT_BITS = 0x8000000000000000L;
  private static final int TIME_SHIFT_BITS = 16;

  private final Random random;

  /**
   * Creates a generator.
   *
   * @param random the seeded source of the random bits
   */
  public UuidV7(Random random) {
    this.random = random;
  }

  /**
   * Returns a new UUID.
   *
   * @param wallMs the time stamp of the UUID, in milliseconds since the epoch
   * @return the UUID
   */
  public UUID next(long wallMs) {
    long high = (wallMs << TIME_SHIFT_BITS) | VERSION_BITS | random.nextInt(0x1000);
    long low = (random.nextLong() >>> 2) | VARIANT_BITS;
    return new UUID(high, low);
  }
}
