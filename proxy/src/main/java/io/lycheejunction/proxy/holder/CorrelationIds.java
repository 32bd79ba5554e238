package io.lycheejunction.proxy.holder;

import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

/** Makes identifiers that are unique among all proxies and their restarts. */
final class CorrelationIds {
  private static final int RANDOM_BYTES = 16;

  private final RandomGenerator random;
  private final String prefix;
  private final AtomicLong count = new AtomicLong();

  CorrelationIds(String vm, RandomGenerator random) {
    this.random = random;
    this.prefix = vm + "-" + Long.toHexString(random.nextLong()) + "-";
  }

  /** Returns a new identifier of a request to a target. */
  String next() {
    return prefix + count.incrementAndGet();
  }

  /** Returns a new text that nobody can guess if the source is a secure one. */
  synchronized String unguessable() {
    byte[] bytes = new byte[RANDOM_BYTES];
    random.nextBytes(bytes);
    return HexFormat.of().formatHex(bytes);
  }
}
