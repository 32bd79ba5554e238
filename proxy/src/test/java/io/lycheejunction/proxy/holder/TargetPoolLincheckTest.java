package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Validate;
import org.junit.jupiter.api.Test;

/** Model-checks a pool of two connections, one of which is in use from the start. */
public class TargetPoolLincheckTest {
  private static final int LIMIT = 2;
  private final TargetPool pool =
      new TargetPool(timeoutMs -> Result.success(new Session()), new FixedClock(), LIMIT);
  private final Session first = (Session) pool.take(1).getOrElse(null);

  private static final class FixedClock implements RuntimeClock {
    @Override
    public long wallMs() {
      return 0;
    }

    @Override
    public long monotonicMs() {
      return 0;
    }

    @Override
    public void sleepMs(long durationMs) {}
  }

  private static final class Session implements TargetConnection {
    private volatile boolean closed;

    private TargetReply none() {
      return new TargetReply.Unknown("not used");
    }

    @Override
    public TargetReply execute(TargetRequest request) {
      return none();
    }

    @Override
    public TargetReply begin(long term, long timeoutMs) {
      return none();
    }

    @Override
    public TargetReply commit(Optional<String> key, long timeoutMs) {
      return none();
    }

    @Override
    public TargetReply rollback(long timeoutMs) {
      return none();
    }

    @Override
    public boolean isUsable() {
      return !closed;
    }

    @Override
    public void close() {
      closed = true;
    }
  }

  /** Returns what became of taking a connection, which stays in use. */
  @Operation
  public String take() {
    Result<TargetConnection> taken = pool.take(1);
    return taken.fold(fault -> fault.code().name(), session -> session == first ? "first" : "new");
  }

  /** Gives the first connection back. */
  @Operation(runOnce = true)
  public void giveBack() {
    pool.giveBack(first);
  }

  /** Ends the pool. */
  @Operation(runOnce = true)
  public void retire() {
    pool.retire();
  }

  /** Checks the limit. */
  @Validate
  public void check() {
    if (pool.open() > LIMIT || pool.open() < 0 || pool.inUse() < 0) {
      throw new IllegalStateException(ResultCode.NO_CONNECTION.name());
    }
  }

  @Test
  void shouldBeLinearizable() {
    new ModelCheckingOptions()
        .iterations(3)
        .invocationsPerIteration(100)
        .threads(2)
        .actorsPerThread(2)
        .actorsBefore(0)
        .actorsAfter(0)
        .check(getClass());
  }
}
