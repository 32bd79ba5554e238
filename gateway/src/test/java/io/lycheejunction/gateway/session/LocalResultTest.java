package io.lycheejunction.gateway.session;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.PreparedStatement;
import io.lycheejunction.core.statement.SessionState;
import org.junit.jupiter.api.Test;

class LocalResultTest {
  private static final SessionState EMPTY = SessionState.empty();
  private static final PreparedStatement PREPARED = new PreparedStatement(true, "shape");

  private static void assertRefused(ResultCode code, LocalResult result) {
    assertEquals(code, assertInstanceOf(LocalResult.Refused.class, result).fault().code());
  }

  @Test
  void shouldChangeTheStateWhenVariableIsSet() {
    LocalResult result = LocalResult.of(EMPTY, new CallerStatement.SetVariable("user", "alice"));

    assertEquals(new LocalResult.Changed(EMPTY.withVariable("user", "alice")), result);
  }

  @Test
  void shouldForgetPreparedStatementWhenItIsDeallocated() {
    SessionState state = EMPTY.withPrepared("s", PREPARED);

    LocalResult result = LocalResult.of(state, new CallerStatement.Deallocate("s"));

    assertEquals(new LocalResult.Changed(EMPTY), result);
  }

  @Test
  void shouldRefuseWhenDeallocatedStatementIsUnknown() {
    assertRefused(
        ResultCode.UNKNOWN_PREPARED, LocalResult.of(EMPTY, new CallerStatement.Deallocate("s")));
  }

  @Test
  void shouldRefuseWhenTargetWouldHaveToRunTheStatement() {
    assertRefused(ResultCode.BAD_STATEMENT, LocalResult.of(EMPTY, new CallerStatement.Commit()));
  }
}
