package io.lycheejunction.bench.load;

import java.util.Random;
import java.util.UUID;

/** Makes identifiers of UUID version 7, as RFC 9562 defines them, from a seeded source. */
public final class UuidV7 {
  private static final long VERSION_BITS = 0x7000L;
  private static final long VARIANT_BITS = 0x8000000000000000L;
  private static final int TIME_SHIFT_BITS = 16;

  private final Random random;

  /**
   * Creates a source of identifiers.
   *
   * @param random the seeded source of the random bits
   */
  public UuidV7(Random random) {
    this.random = random;
  }

  /**
   * Returns a new identifier.
   *
   * @param wallMs the time that it carries, in milliseconds since the epoch
   * @return the identifier
   */
  public UUID next(long wallMs) {
    long high = (wallMs << TIME_SHIFT_BITS) | VERSION_BITS | random.nextInt(0x1000);
    long low = (random.nextLong() >>> 2) | VARIANT_BITS;
    return new UUID(high, low);
  }
}
