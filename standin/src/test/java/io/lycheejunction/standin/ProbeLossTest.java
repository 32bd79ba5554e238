package io.lycheejunction.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ProbeLossTest {
  private final ProbeLoss loss = new ProbeLoss();

  private long countDropped(int replies) {
    return IntStream.range(0, replies).filter(i -> loss.dropsNext()).count();
  }

  @Nested
  class DropsNext {
    @Test
    void shouldDropNoneWhenNotSet() {
      assertEquals(0, countDropped(1_000));
    }

    @Test
    void shouldDropTheSameShareWhenSeedIsRepeated() {
      loss.set(100, 7);
      long first = countDropped(10_000);
      loss.set(100, 7);
      assertEquals(first, countDropped(10_000));
      assertEquals(1_000, first, 100);
    }

    @Test
    void shouldDropAllWhenRateIsOneThousand() {
      loss.set(1_000, 1);
      assertEquals(50, countDropped(50));
    }
  }

  @Nested
  class SetRate {
    @Test
    void shouldRejectRateWhenAboveOneThousand() {
      assertThrows(IllegalArgumentException.class, () -> loss.set(1_001, 0));
    }
  }
}
