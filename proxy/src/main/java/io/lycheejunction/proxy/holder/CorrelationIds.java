package io.lycheejunction.proxy.holder;

import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Generates identifiers that are unique across all proxies and their restarts. */
final class CorrelationIds {
  private static final int RANDOM_BYTES = 16;

  private final RandomGenerator random;
  private final String prefix;
  private final AtomicLong count = new AtomicLong();

  CorrelationIds(String vm, RandomGenerator random) {
    this.random = random;
    this.prefix = vm + "-" + Long.toHexString(random.nextLong()) + "-";
  }

  /** Returns a new correlation identifier for a request to a target. */
  String next() {
    return prefix + count.incrementAndGet();
  }

  /** Returns 128 random bits in hexadecimal; unguessable if the random generator is secure. */
  synchronized String randomToken() {
    byte[] bytes = new byte[RANDOM_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
