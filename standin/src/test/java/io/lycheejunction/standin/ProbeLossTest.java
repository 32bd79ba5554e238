package io.lycheejunction.standin;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ProbeLossTest {
  private final ProbeLoss loss = new ProbeLoss();

  private long lostOf(int answers) {
    return IntStream.range(0, answers).filter(i -> loss.losesNext()).count();
  }

  @Nested
  class LosesNext {
    @Test
    void shouldLoseNoneWhenNotSet() {
      assertEquals(0, lostOf(1_000));
    }

    @Test
    void shouldLoseTheShareAndRepeatItWithTheSameSeed() {
      loss.set(100, 7);
      long first = lostOf(10_000);
      loss.set(100, 7);
      assertEquals(first, lostOf(10_000));
      assertEquals(1_000, first, 100);
    }

    @Test
    void shouldLoseAllWhenTheShareIsWhole() {
      loss.set(1_000, 1);
      assertEquals(50, lostOf(50));
    }
  }

  @Nested
  class SetShare {
    @Test
    void shouldRefuseMoreThanAll() {
      assertThrows(IllegalArgumentException.class, () -> loss.set(1_001, 0));
    }
  }
}
