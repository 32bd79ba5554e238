package io.lycheejunction.proxy.holder;

import static io.lycheejunction.proxy.holder.HolderFixture.code;
import static io.lycheejunction.proxy.holder.HolderFixture.value;
import static io.lycheejunction.proxy.holder.HolderFixture.write;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests how connection pools drain, warm up and move between proxies.
 *
 * <p>Guards against connections left open after a drain or a change of the holder, and against more
 * connections than the target allows while the former holder still has some.
 */
class PooledConnectionsTest {

  private final HolderFixture fixture = new HolderFixture();
  private final FakeTargets targets = fixture.targets;

  @Nested
  class Drain {
    @Test
    void shouldFinishOpenTransactionAndRefuseNewWorkWhenDraining() {
      final TransactionId id = value(fixture.holder1.beginTransaction(HolderFixture.start()));
      fixture.holder1.drain();
      assertEquals(
          Optional.of(ResultCode.SHUTTING_DOWN), code(fixture.holder1.execute(write("t1"))));
      assertEquals(
          Optional.of(ResultCode.SHUTTING_DOWN),
          code(fixture.holder1.beginTransaction(HolderFixture.start())));
      fixture.clock.scheduleAfterMs(
          50,
          () ->
              value(
                  fixture.holder1.executeStep(
                      HolderFixture.step(id, TransactionStep.Kind.COMMIT))));
      assertTrue(fixture.holder1.awaitCompletionAndClose(1_000));
      assertEquals(0, targets.openConnections);
    }

    @Test
    void shouldRollBackWhenTransactionExceedsDrainTimeout() {
      value(fixture.holder1.beginTransaction(HolderFixture.start()));
      fixture.holder1.drain();
      assertFalse(fixture.holder1.awaitCompletionAndClose(100));
      assertEquals(0, targets.openConnections);
    }
  }

  @Nested
  class Rebalance {
    @Test
    void shouldOpenOneConnectionPerSlotWhenTargetIsTakenOver() {
      fixture.holder1.rebalance();
      assertEquals(HolderFixture.SLOTS, targets.openConnections);
    }

    @Test
    void shouldUseHalfOfConnectionsWhenHandoverIsInProgress() {
      fixture.holder1.rebalance();
      Result<TransactionId> last = beginMany(HolderFixture.CONNECTIONS / 2);
      assertEquals(Optional.of(ResultCode.DEADLINE_EXCEEDED), code(last));
      fixture.clock.advanceMs(3_000);
      fixture.holder1.rebalance();
      value(fixture.holder1.beginTransaction(HolderFixture.start()));
    }

    private Result<TransactionId> beginMany(int count) {
      for (int i = 1; i < count; i++) {
        value(fixture.holder1.beginTransaction(HolderFixture.start()));
      }
      return fixture.holder1.beginTransaction(HolderFixture.start());
    }

    @Test
    void shouldClosePoolWhenAnotherProxyTakesOver() {
      fixture.holder1.rebalance();
      fixture.liveForHolder1.removeFirst();
      fixture.holder1.rebalance();
      assertEquals(0, targets.openConnections);
    }

    @Test
    void shouldKeepOneConnectionPerSlotWhenConnectionsAreIdle() {
      fixture.holder1.rebalance();
      fixture.clock.advanceMs(3_000);
      fixture.holder1.rebalance();
      beginMany(3);
      assertEquals(3, targets.openConnections);
      fixture.clock.advanceMs(5_000);
      fixture.holder1.rebalance();
      fixture.clock.advanceMs(30_000);
      fixture.holder1.rebalance();
      assertEquals(HolderFixture.SLOTS, targets.openConnections);
    }
  }
}
