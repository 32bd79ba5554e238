package io.lycheejunction.core.term;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class LogPositionTest {

  @Nested
  class IsAtLeast {
    @Test
    void shouldReturnTrueWhenTermIsHigherAndOffsetLower() {
      assertTrue(new LogPosition(2, 1).isAtLeast(new LogPosition(1, 9)));
    }

    @Test
    void shouldReturnFalseWhenTermIsLowerAndOffsetHigher() {
      assertFalse(new LogPosition(1, 9).isAtLeast(new LogPosition(2, 1)));
    }
  }

  @Nested
  class Max {
    @Test
    void shouldReturnLaterWhenTermsAreEqual() {
      LogPosition later = new LogPosition(1, 2);
      assertEquals(later, new LogPosition(1, 1).max(later));
    }
  }
}
