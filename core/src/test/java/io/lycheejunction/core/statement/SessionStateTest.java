package io.lycheejunction.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SessionStateTest {

  @Test
  void shouldKeepLastValueWhenSetTwice() {
    SessionState state = SessionState.empty().withVariable("a", "1").withVariable("a", "2");

    assertEquals(Map.of("a", "2"), state.variables());
  }

  @Test
  void shouldReturnSameStateWhenNothingChanges() {
    SessionState state = SessionState.empty().withVariable("a", "1");

    assertSame(state, state.withVariable("a", "1"));
    assertSame(state, state.withoutPrepared("unknown"));
  }

  @Test
  void shouldRemovePreparedStatementWhenDeallocated() {
    PreparedStatement preparedStatement = new PreparedStatement(true, "q");
    SessionState state = SessionState.empty().withPrepared("s", preparedStatement);

    assertEquals(Optional.of(preparedStatement), state.preparedStatement("s"));
    assertEquals(Optional.empty(), state.withoutPrepared("s").preparedStatement("s"));
  }
}
