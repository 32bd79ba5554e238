package io.lycheejunction.standin;

import java.util.SplittableRandom;

/** Selects at random the replies to status requests that are dropped. Thread-safe. */
final class ProbeLoss {
  private static final int PER_THOUSAND_MAX = 1_000;

  private long perThousand;
  private SplittableRandom random = new SplittableRandom(0);

  /** Sets the drop rate, in replies per thousand, and the seed of the random selection. */
  synchronized void set(long newPerThousand, long seed) {
    if (newPerThousand < 0 || newPerThousand > PER_THOUSAND_MAX) {
      throw new IllegalArgumentException("perThousand is not between 0 and 1000");
    }
    perThousand = newPerThousand;
    random = new SplittableRandom(seed);
  }

  /** Returns whether to drop the next reply; draws a random number if the rate is above 0. */
  synchronized boolean dropsNext() {
    return perThousand > 0 && random.nextInt(PER_THOUSAND_MAX) < perThousand;
  }
}
