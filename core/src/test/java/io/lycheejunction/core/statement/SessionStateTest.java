package io.lycheejunction.core.statement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SessionStateTest {

  @Test
  void shouldKeepLastValueWhenSetTwice() {
    SessionState state = SessionState.empty().withValue("a", "1").withValue("a", "2");

    assertEquals(Map.of("a", "2"), state.values());
  }

  @Test
  void shouldReturnSameStateWhenNothingChanges() {
    SessionState state = SessionState.empty().withValue("a", "1");

    assertSame(state, state.withValue("a", "1"));
    assertSame(state, state.withoutPrepared("unknown"));
  }

  @Test
  void shouldRemovePreparedStatementWhenDeallocated() {
    PreparedShape shape = new PreparedShape(true, "q");
    SessionState state = SessionState.empty().withPrepared("s", shape);

    assertEquals(Optional.of(shape), state.shapeOf("s"));
    assertEquals(Optional.empty(), state.withoutPrepared("s").shapeOf("s"));
  }
}
