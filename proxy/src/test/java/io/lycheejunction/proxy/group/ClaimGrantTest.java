package io.lycheejunction.proxy.group;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks {@link ClaimGrant} for linearizability: two proxies must never hold it at once. */
@Param(name = "rank", gen = IntGen.class, conf = "0:2")
@Param(name = "now", gen = IntGen.class, conf = "0:20")
public class ClaimGrantTest {
  private static final long DURATION_MS = 10;

  private final ClaimGrant grant = new ClaimGrant();

  /** Grants a claim to another proxy. */
  @Operation
  public boolean tryGrant(@Param(name = "rank") int rank, @Param(name = "now") int nowMs) {
    return grant.tryGrant("other-" + rank, rank, nowMs, DURATION_MS);
  }

  /** Reserves the grant for the proxy itself. */
  @Operation
  public boolean tryReserve(@Param(name = "rank") int rank, @Param(name = "now") int nowMs) {
    return grant.tryReserve("self", rank, nowMs, DURATION_MS);
  }

  /** Confirms the reservation of the proxy itself. */
  @Operation
  public boolean tryConfirm(@Param(name = "now") int nowMs) {
    return grant.tryConfirm("self", nowMs, DURATION_MS);
  }

  /** Releases the grant of the proxy itself. */
  @Operation
  public void release() {
    grant.release("self");
  }

  @Test
  void shouldBeLinearizableWhenCalledConcurrently() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(2)
        .actorsPerThread(3)
        .check(getClass());
  }
}
