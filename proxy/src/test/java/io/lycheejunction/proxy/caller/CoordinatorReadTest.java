package io.lycheejunction.proxy.caller;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.HolderStatement;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against reads that miss writes of their session, exceed the accepted age, or fail although
 * another target or a new primary could answer them.
 */
class CoordinatorReadTest {
  private static final LogPosition OLD = new LogPosition(1, 3);
  private static final LogPosition LATEST = new LogPosition(1, 9);
  private final CoordinatorFixture fixture = new CoordinatorFixture();

  private static Result<HolderAnswer> row(HolderStatement statement) {
    return CoordinatorFixture.answered(statement.target(), LATEST, CoordinatorFixture.VIEW);
  }

  private static Result<HolderAnswer> fault(ResultCode code) {
    return CoordinatorFixture.fault(code);
  }

  private static SessionToken token(LogPosition position) {
    return SessionToken.of(CoordinatorFixture.GROUP, position);
  }

  private HolderStatement executedStatement(SessionToken session, Optional<Long> maxAgeMs) {
    fixture.holders.onExecute = CoordinatorReadTest::row;
    fixture.coordinator.execute(fixture.read(session, maxAgeMs));
    return fixture.holders.statements.getFirst();
  }

  @Nested
  class Floor {
    @Test
    void shouldBeTokensPositionWhenReadAcceptsAge() {
      assertEquals(OLD, executedStatement(token(OLD), Optional.of(100L)).floor());
    }

    @Test
    void shouldBeLatestPositionWhenReadAcceptsNoAge() {
      HolderStatement statement = executedStatement(token(OLD), Optional.empty());
      assertEquals(LATEST, statement.floor());
      assertEquals(Optional.empty(), statement.maxAgeMs());
    }

    @Test
    void shouldBeTokensPositionWhenItIsLaterThanLatest() {
      LogPosition later = new LogPosition(2, 1);
      assertEquals(later, executedStatement(token(later), Optional.empty()).floor());
    }

    @Test
    void shouldBeLatestPositionWhenTokenIsMissing() {
      assertEquals(LATEST, executedStatement(SessionToken.empty(), Optional.of(100L)).floor());
    }

    @Test
    void shouldBeOriginWhenSessionIsNew() {
      HolderStatement statement = executedStatement(SessionToken.newSession(), Optional.of(100L));
      assertEquals(LogPosition.ORIGIN, statement.floor());
    }

    @Test
    void shouldBeAddedToTokenWhenTokenWasMissing() {
      fixture.holders.onExecute = CoordinatorReadTest::row;
      Answer answer =
          fixture.coordinator.execute(fixture.read(SessionToken.empty(), Optional.of(100L)));
      assertEquals(Optional.of(LATEST), answer.session().floor(CoordinatorFixture.GROUP));
      assertEquals(Optional.empty(), answer.session().floor("other"));
    }

    @Test
    void shouldRefuseWhenTokenIsMissingAndLatestPositionIsUnknown() {
      fixture.holders.floor = Result.failure(ResultCode.MAJORITY_LOST, "scripted");
      Answer answer =
          fixture.coordinator.execute(fixture.read(SessionToken.empty(), Optional.of(100L)));
      assertEquals(ResultCode.MAJORITY_LOST, answer.code());
    }

    @Test
    void shouldReturnRefusedNotRunWhenFloorReplyIsLost() {
      fixture.holders.floor = Result.failure(ResultCode.UNKNOWN_OUTCOME, "scripted");
      Answer answer =
          fixture.coordinator.execute(fixture.read(SessionToken.empty(), Optional.of(100L)));
      assertEquals(Outcome.REFUSED_NOT_RUN, answer.code().outcome());
    }
  }

  @Nested
  class Age {
    @Test
    void shouldBeCappedByServiceWhenCallerAsksForMore() {
      HolderStatement statement = executedStatement(token(OLD), Optional.of(60_000L));
      assertEquals(Optional.of(1_000L), statement.maxAgeMs());
    }
  }

  @Nested
  class Order {
    @Test
    void shouldTryOwnDomainFirstAndPrimaryLast() {
      fixture.holders.onExecute = statement -> fault(ResultCode.NOT_FRESH);
      fixture.coordinator.execute(fixture.read(token(OLD), Optional.of(100L)));
      List<String> targets =
          fixture.holders.statements.stream().map(HolderStatement::target).limit(3).toList();
      assertEquals(List.of("t2", "t3", "t1"), targets);
    }

    @Test
    void shouldAnswerFromPrimaryWhenReplicasAreBehind() {
      fixture.holders.onExecute =
          statement ->
              statement.target().equals("t1") ? row(statement) : fault(ResultCode.NOT_FRESH);
      Answer answer = fixture.coordinator.execute(fixture.read(token(OLD), Optional.of(100L)));
      assertEquals(Optional.of("t1"), answer.target());
    }

    @Test
    void shouldRefuseAtOnceWhenStatementIsInvalid() {
      fixture.holders.onExecute = statement -> fault(ResultCode.BAD_STATEMENT);
      Answer answer = fixture.coordinator.execute(fixture.read(token(OLD), Optional.of(100L)));
      assertEquals(ResultCode.BAD_STATEMENT, answer.code());
      assertEquals(1, fixture.holders.statements.size());
    }

    @Test
    void shouldWaitForNewPrimaryWhenReplicasAreBehindAndPrimaryIsUnreachable() {
      fixture.clock.scheduleAfterMs(600, () -> fixture.watch.set(CoordinatorFixture.NEXT_VIEW));
      fixture.holders.onExecute =
          statement ->
              switch (statement.target()) {
                case "t1" -> fault(ResultCode.TARGET_UNREACHABLE);
                case "t2" -> statement.term() == 2 ? row(statement) : fault(ResultCode.NOT_FRESH);
                default -> fault(ResultCode.NOT_FRESH);
              };
      Answer answer = fixture.coordinator.execute(fixture.read(token(OLD), Optional.of(100L)));
      assertEquals(Optional.of("t2"), answer.target());
    }

    @Test
    void shouldRefuseAtOnceWhenPrimaryCannotProveAge() {
      fixture.holders.onExecute = statement -> fault(ResultCode.AGE_NOT_PROVEN);
      Answer answer = fixture.coordinator.execute(fixture.read(token(OLD), Optional.of(100L)));
      assertEquals(ResultCode.AGE_NOT_PROVEN, answer.code());
      assertEquals(0, fixture.clock.monotonicMs());
    }

    @Test
    void shouldReturnAgeNotProvenWhenPrimaryIsUnreachable() {
      fixture.holders.onExecute =
          statement ->
              fault(
                  statement.target().equals("t1")
                      ? ResultCode.TARGET_UNREACHABLE
                      : ResultCode.AGE_NOT_PROVEN);
      Answer answer = fixture.coordinator.execute(fixture.read(token(OLD), Optional.of(100L)));
      assertEquals(ResultCode.AGE_NOT_PROVEN, answer.code());
    }

    @Test
    void shouldReturnOutcomeUnknownWhenOneAttemptMayHaveRun() {
      fixture.holders.onExecute =
          CoordinatorFixture.script(
              fault(ResultCode.UNKNOWN_OUTCOME), fault(ResultCode.QUEUE_FULL));
      Answer answer = fixture.coordinator.execute(fixture.read(token(OLD), Optional.of(100L)));
      assertEquals(Outcome.OUTCOME_UNKNOWN, answer.code().outcome());
    }
  }
}
