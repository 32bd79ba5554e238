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

/** How pools end, warm up and move between proxies. */
class PooledConnectionsTest {

  private final HolderFixture fixture = new HolderFixture();
  private final FakeTargets targets = fixture.targets;

  @Nested
  class Drain {
    @Test
    void shouldFinishOpenTransactionAndTakeNoNewWork() {
      final TransactionId id = value(fixture.first.begin(HolderFixture.start()));
      fixture.first.drain();
      assertEquals(Optional.of(ResultCode.SHUTTING_DOWN), code(fixture.first.execute(write("t1"))));
      assertEquals(
          Optional.of(ResultCode.SHUTTING_DOWN), code(fixture.first.begin(HolderFixture.start())));
      fixture.clock.afterMs(
          50, () -> value(fixture.first.step(HolderFixture.step(id, TransactionStep.Kind.COMMIT))));
      assertTrue(fixture.first.awaitIdle(1_000));
      assertEquals(0, targets.open);
    }

    @Test
    void shouldRollBackWhenTransactionOutlastsBound() {
      value(fixture.first.begin(HolderFixture.start()));
      fixture.first.drain();
      assertFalse(fixture.first.awaitIdle(100));
      assertEquals(0, targets.open);
    }
  }

  @Nested
  class Rebalance {
    @Test
    void shouldWarmForSlotsWhenTargetIsTakenOver() {
      fixture.first.rebalance();
      assertEquals(HolderFixture.SLOTS, targets.open);
    }

    @Test
    void shouldUseHalfOfConnectionsWhenHandoverIsRunning() {
      fixture.first.rebalance();
      Result<TransactionId> last = beginMany(HolderFixture.CONNECTIONS / 2);
      assertEquals(Optional.of(ResultCode.DEADLINE_EXCEEDED), code(last));
      fixture.clock.advanceMs(3_000);
      fixture.first.rebalance();
      value(fixture.first.begin(HolderFixture.start()));
    }

    private Result<TransactionId> beginMany(int count) {
      for (int i = 1; i < count; i++) {
        value(fixture.first.begin(HolderFixture.start()));
      }
      return fixture.first.begin(HolderFixture.start());
    }

    @Test
    void shouldClosePoolWhenAnotherProxyTakesOver() {
      fixture.first.rebalance();
      fixture.live.removeFirst();
      fixture.first.rebalance();
      assertEquals(0, targets.open);
    }

    @Test
    void shouldShrinkToWarmSizeWhenConnectionsAreIdle() {
      fixture.first.rebalance();
      fixture.clock.advanceMs(3_000);
      fixture.first.rebalance();
      beginMany(3);
      assertEquals(3, targets.open);
      fixture.clock.advanceMs(5_000);
      fixture.first.rebalance();
      fixture.clock.advanceMs(30_000);
      fixture.first.rebalance();
      assertEquals(HolderFixture.SLOTS, targets.open);
    }
  }
}
