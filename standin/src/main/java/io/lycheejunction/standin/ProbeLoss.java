package io.lycheejunction.standin;

import java.util.SplittableRandom;

/** Chooses the answers to status requests that are lost; safe for use by several threads. */
final class ProbeLoss {
  private static final int WHOLE = 1_000;

  private long perThousand;
  private SplittableRandom random = new SplittableRandom(0);

  /** Sets the share that is lost, in thousandths, and the seed of the choice. */
  synchronized void set(long newPerThousand, long seed) {
    if (newPerThousand < 0 || newPerThousand > WHOLE) {
      throw new IllegalArgumentException("perThousand is not from 0 to 1000");
    }
    perThousand = newPerThousand;
    random = new SplittableRandom(seed);
  }

  /** Returns whether the next answer is lost. */
  synchronized boolean losesNext() {
    return perThousand > 0 && random.nextInt(WHOLE) < perThousand;
  }
}
