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

/**
 * Model-checks a pool with a limit of two connections, one of which is in use from the start.
 *
 * <p>Guards against races of acquire, release and retire that exceed the limit, miscount the open
 * connections or hand out a connection twice.
 */
public class TargetPoolLincheckTest {
  private static final int LIMIT = 2;
  private final TargetPool pool =
      new TargetPool(timeoutMs -> Result.success(new Session()), new FixedClock(), LIMIT);
  private final Session firstSession = (Session) pool.acquire(1).getOrElse(null);

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

    private TargetReply unusedReply() {
      return new TargetReply.Unknown("not used");
    }

    @Override
    public TargetReply execute(TargetRequest request) {
      return unusedReply();
    }

    @Override
    public TargetReply beginTransaction(long term, long timeoutMs) {
      return unusedReply();
    }

    @Override
    public TargetReply commit(Optional<String> key, long timeoutMs) {
      return unusedReply();
    }

    @Override
    public TargetReply rollback(long timeoutMs) {
      return unusedReply();
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

  /** Acquires a connection without releasing it; returns which one, or the result code. */
  @Operation
  public String acquire() {
    Result<TargetConnection> acquired = pool.acquire(1);
    return acquired.fold(
        fault -> fault.code().name(), session -> session == firstSession ? "first" : "new");
  }

  /** Releases the connection that is in use from the start. */
  @Operation(runOnce = true)
  public void release() {
    pool.release(firstSession);
  }

  /** Retires the pool while other operations may run. */
  @Operation(runOnce = true)
  public void retire() {
    pool.retire();
  }

  /** Checks that the counts of the pool are within its limit. */
  @Validate
  public void check() {
    if (pool.openCount() > LIMIT || pool.openCount() < 0 || pool.inUseCount() < 0) {
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
