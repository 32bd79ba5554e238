package io.lycheejunction.core.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SessionTokenTest {
  private static final LogPosition OLD_TERM = new LogPosition(1, 90);
  private static final LogPosition NEW_TERM = new LogPosition(2, 1);

  @Nested
  class With {
    @Test
    void shouldKeepHigherTermWhenOffsetIsLower() {
      SessionToken token = SessionToken.of("g", NEW_TERM).with("g", OLD_TERM);
      assertEquals(Optional.of(NEW_TERM), token.floor("g"));
    }

    @Test
    void shouldDropLowestPositionWhenGroupsAreTooMany() {
      SessionToken token = SessionToken.newSession();
      for (int i = 0; i <= SessionToken.MAX_GROUPS; i++) {
        token = token.with("g" + i, new LogPosition(1, i + 1));
      }
      assertEquals(SessionToken.MAX_GROUPS, token.positions().size());
      assertEquals(Optional.empty(), token.floor("g0"));
      assertFalse(token.complete());
    }

    @Test
    void shouldHaveNoFloorWhenNameIsTooLong() {
      String name = "g".repeat(SessionToken.MAX_NAME_CHARS + 1);
      assertTrue(SessionToken.newSession().with(name, NEW_TERM).floor(name).isEmpty());
    }
  }

  @Nested
  class Floor {
    @Test
    void shouldBeOriginWhenSessionIsNew() {
      assertEquals(Optional.of(LogPosition.ORIGIN), SessionToken.newSession().floor("g"));
    }

    @Test
    void shouldBeUnknownWhenTokenIsMissing() {
      assertEquals(Optional.empty(), SessionToken.empty().floor("g"));
    }

    @Test
    void shouldBeUnknownWhenTokenNamesAnotherGroup() {
      assertEquals(Optional.empty(), SessionToken.of("other", NEW_TERM).floor("g"));
    }
  }
}
