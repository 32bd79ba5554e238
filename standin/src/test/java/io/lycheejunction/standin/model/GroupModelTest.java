package io.lycheejunction.standin.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class GroupModelTest {
  private static final List<TargetSpec> TARGETS =
      List.of(
          new TargetSpec("a", "ikeja", "127.0.0.1:1"),
          new TargetSpec("b", "lekki", "127.0.0.1:2"),
          new TargetSpec("c", "apapa", "127.0.0.1:3"));
  private static final List<String> DOMAINS = List.of("ikeja", "lekki", "apapa");

  private final ManualClock clock = ManualClock.advancing();
  private final Links links = new Links(0);
  private final GroupModel group = new GroupModel("g", TARGETS, ModelLimits.NONE, links, clock);

  private ModelSession openSession(String target) throws InterruptedException {
    return group.openSession(target).fold(fault -> null, session -> session);
  }

  private static TargetRequest write(long term, String statement, String key) {
    return new TargetRequest(
        "1", term, Access.WRITE, statement, Optional.of(key).filter(k -> !k.isEmpty()), 1000);
  }

  private static TargetRequest read(String statement) {
    return new TargetRequest("1", 0, Access.READ, statement, Optional.empty(), 1000);
  }

  private TargetReply.Answered answered(TargetReply reply) {
    return assertInstanceOf(TargetReply.Answered.class, reply);
  }

  private static ResultCode code(TargetReply reply) {
    return reply instanceof TargetReply.NotRun(Fault fault) ? fault.code() : null;
  }

  private static ResultCode code(Result<?> result) {
    return result.fold(Fault::code, value -> null);
  }

  private LogPosition received(String target) {
    return group.status(target).received();
  }

  private void promote(String target, long term) {
    for (TargetSpec spec : TARGETS) {
      if (!spec.name().equals("a")) {
        assertFalse(group.fence(spec.name(), term, target).isEmpty());
      }
    }
    assertFalse(group.promote(target, term, target).isEmpty());
  }

  @Nested
  class Replicate {
    @Test
    void shouldDeliverEntryWhenLagHasPassed() throws InterruptedException {
      group.faults().setReplicaLagMs("b", 50);
      clock.advanceMs(100);
      openSession("a").execute(write(1, "put orders k 1", ""));
      clock.advanceMs(49);
      assertEquals(1, received("b").offset());
      clock.advanceMs(1);
      assertEquals(2, received("b").offset());
    }

    @Test
    void shouldDelayEntryWhenLinkIsCutBeforeItArrives() throws InterruptedException {
      group.faults().setReplicaLagMs("b", 50);
      clock.advanceMs(100);
      openSession("a").execute(write(1, "put orders k 1", ""));
      clock.advanceMs(49);
      links.cut("ikeja", "lekki");
      clock.advanceMs(1000);
      assertEquals(1, received("b").offset());
      links.heal("ikeja", "lekki");
      clock.advanceMs(49);
      assertEquals(1, received("b").offset());
      clock.advanceMs(1);
      assertEquals(2, received("b").offset());
    }

    @Test
    void shouldShowEntryToReadsWhenApplyLagHasPassed() throws InterruptedException {
      group.faults().setApplyLagMs("b", 30);
      openSession("a").execute(write(1, "put orders k 1", ""));
      assertEquals(2, received("b").offset());
      assertEquals(List.of(), answered(openSession("b").execute(read("get orders k"))).rows());
      clock.advanceMs(30);
      assertEquals(1, answered(openSession("b").execute(read("get orders k"))).rows().size());
    }

    @Test
    void shouldTruncateLogOfOldPrimaryWhenNewPrimaryReplicatesToIt() throws InterruptedException {
      links.isolate("ikeja", DOMAINS);
      ModelSession old = openSession("a");
      answered(old.execute(write(1, "append orders k lost", "")));
      answered(old.execute(write(1, "append orders k lost2", "")));
      promote("b", 2);
      answered(openSession("b").execute(write(2, "append orders k kept", "")));
      assertEquals(Role.PRIMARY, group.status("a").role());
      links.healAll();
      assertEquals(Role.REPLICA, group.status("a").role());
      assertEquals(group.log("b"), group.log("a"));
      assertEquals(List.of(new LedgerRow("k", "kept")), group.ledger("a", "orders"));
      assertEquals(ResultCode.NOT_PRIMARY, code(old.execute(write(1, "put orders k 1", ""))));
    }

    @Test
    void shouldNotReplicateOldTermWhenReplicasAreFenced() throws InterruptedException {
      group.fence("b", 2, "x");
      group.fence("c", 2, "x");
      answered(openSession("a").execute(write(1, "put orders k 1", "")));
      clock.advanceMs(1000);
      assertEquals(new LogPosition(1, 1), received("b"));
      assertEquals(new LogPosition(1, 2), received("a"));
    }
  }

  @Nested
  class Fence {
    @Test
    void shouldRefuseSecondClaimantWhenTermIsTaken() {
      assertFalse(group.fence("b", 2, "x").isEmpty());
      assertFalse(group.fence("b", 2, "x").isEmpty());
      assertEquals(ResultCode.TERM_TAKEN, code(group.fence("b", 2, "y")));
      assertEquals(ResultCode.TERM_TAKEN, code(group.fence("b", 1, "x")));
    }

    @Test
    void shouldDemotePrimaryWhenTermIsHigher() {
      group.fence("a", 2, "x");
      assertEquals(Role.REPLICA, group.status("a").role());
    }
  }

  @Nested
  class Promote {
    @Test
    void shouldRefuseWhenInstanceWasNotFencedForClaimant() {
      group.fence("b", 2, "x");
      assertEquals(ResultCode.TERM_TAKEN, code(group.promote("b", 2, "y")));
      assertEquals(ResultCode.TERM_TAKEN, code(group.promote("c", 2, "x")));
    }

    @Test
    void shouldAppendOneEntryWhenRepeated() {
      group.fence("b", 2, "x");
      group.promote("b", 2, "x");
      group.promote("b", 2, "x");
      assertEquals(new LogPosition(2, 2), received("b"));
      assertEquals(new LogPosition(2, 2), received("c"));
    }
  }

  @Nested
  class Execute {
    @Test
    void shouldReturnRecordedAnswerWhenKeyIsRepeated() throws InterruptedException {
      ModelSession session = openSession("a");
      TargetReply.Answered first = answered(session.execute(write(1, "append o k 1", "key")));
      TargetReply.Answered second = answered(session.execute(write(1, "append o k 1", "key")));
      assertTrue(second.replayed());
      assertEquals(first.position(), second.position());
      assertEquals(1, group.ledger("a", "o").size());
      assertEquals(ResultCode.KEY_REUSED, code(session.execute(write(1, "put o k 2", "key"))));
    }

    @Test
    void shouldKeepRecordedKeyWhenAnotherInstanceIsPromoted() throws InterruptedException {
      answered(openSession("a").execute(write(1, "append o k 1", "key")));
      promote("b", 2);
      assertTrue(answered(openSession("b").execute(write(2, "append o k 1", "key"))).replayed());
      assertEquals(1, group.ledger("b", "o").size());
    }

    @Test
    void shouldRefuseWriteWhenAccessIsRead() throws InterruptedException {
      assertEquals(ResultCode.BAD_STATEMENT, code(openSession("a").execute(read("put o k 1"))));
      assertEquals(1, received("a").offset());
    }

    @Test
    void shouldRefuseWriteWhenTermDiffers() throws InterruptedException {
      assertEquals(
          ResultCode.NOT_PRIMARY, code(openSession("a").execute(write(2, "put o k 1", ""))));
      assertEquals(
          ResultCode.NOT_PRIMARY, code(openSession("b").execute(write(1, "put o k 1", ""))));
    }

    @Test
    void shouldLimitRowsWhenScanHasLimit() throws InterruptedException {
      ModelSession session = openSession("a");
      session.execute(write(1, "append o k 1", ""));
      session.execute(write(1, "append o k 2", ""));
      assertEquals(
          List.of("{\"key\":\"k\",\"value\":\"1\"}"),
          answered(session.execute(read("scan o limit 1"))).rows());
    }
  }

  @Nested
  class Cancel {
    @Test
    void shouldRefuseStatementWhenKeyIsCancelled() throws InterruptedException {
      assertInstanceOf(KeyOutcome.Cancelled.class, group.cancel("a", 1, "key").getOrElse(null));
      assertEquals(
          ResultCode.CANCELLED, code(openSession("a").execute(write(1, "put o k 1", "key"))));
    }

    @Test
    void shouldReturnRecordedOutcomeWhenStatementRanFirst() throws InterruptedException {
      openSession("a").execute(write(1, "put o k 1", "key"));
      assertInstanceOf(KeyOutcome.Recorded.class, group.cancel("a", 1, "key").getOrElse(null));
      assertEquals(ResultCode.NOT_PRIMARY, code(group.lookUp("b", 1, "key")));
    }
  }

  @Nested
  class Transaction {
    @Test
    void shouldHideWritesWhenNotCommitted() throws InterruptedException {
      ModelSession session = openSession("a");
      session.begin(1);
      session.execute(write(1, "put o k 1", ""));
      assertEquals(1, answered(session.execute(read("get o k"))).rows().size());
      assertEquals(0, answered(openSession("a").execute(read("get o k"))).rows().size());
      TargetReply.Answered commit = answered(session.commit(Optional.of("key")));
      assertEquals(new LogPosition(1, 2), commit.position());
      assertEquals(1, group.ledger("c", "o").size());
      assertInstanceOf(KeyOutcome.Recorded.class, group.lookUp("a", 1, "key").getOrElse(null));
    }

    @Test
    void shouldLoseWritesWhenInstanceCrashes() throws InterruptedException {
      ModelSession session = openSession("a");
      session.begin(1);
      session.execute(write(1, "put o k 1", ""));
      group.faults().crash("a");
      group.faults().restart("a");
      assertEquals(ResultCode.UNKNOWN_TRANSACTION, code(session.commit(Optional.empty())));
      assertEquals(0, group.ledger("a", "o").size());
    }

    @Test
    void shouldRefuseCommitWhenPrimaryWasReplaced() throws InterruptedException {
      ModelSession session = openSession("a");
      session.begin(1);
      session.execute(write(1, "put o k 1", ""));
      promote("b", 2);
      assertEquals(ResultCode.NOT_PRIMARY, code(session.commit(Optional.empty())));
    }
  }

  @Nested
  class OpenSession {
    @Test
    void shouldRefuseSessionWhenConnectionLimitIsReached() throws InterruptedException {
      GroupModel small = new GroupModel("s", TARGETS, new ModelLimits(1, 1, 10, 0), links, clock);
      ModelSession first = small.openSession("a").fold(fault -> null, session -> session);
      assertEquals(10, clock.monotonicMs());
      assertEquals(ResultCode.NO_CONNECTION, code(small.openSession("a")));
      first.close();
      assertFalse(small.openSession("a").isEmpty());
    }
  }

  @Nested
  class OpenSessionAtLimit {
    private final GroupModel narrow =
        new GroupModel("n", TARGETS, new ModelLimits(2, 1, 0, 0), links, clock);

    @Test
    void shouldCloseIdleSessionWhenLimitIsReached() throws InterruptedException {
      final ModelSession idle = narrow.openSession("a").fold(fault -> null, session -> session);
      assertEquals(ResultCode.NO_CONNECTION, code(narrow.openSession("a")));
      clock.advanceMs(GroupModel.SESSION_IDLE_LIMIT_MS);
      assertFalse(narrow.openSession("a").isEmpty());
      assertFalse(idle.isOpen());
    }

    @Test
    void shouldKeepSessionWhenItWasUsed() throws InterruptedException {
      ModelSession used = narrow.openSession("a").fold(fault -> null, session -> session);
      clock.advanceMs(GroupModel.SESSION_IDLE_LIMIT_MS - 1);
      answered(used.execute(read("get orders k")));
      clock.advanceMs(1);
      assertEquals(ResultCode.NO_CONNECTION, code(narrow.openSession("a")));
      assertTrue(used.isOpen());
    }
  }
}
