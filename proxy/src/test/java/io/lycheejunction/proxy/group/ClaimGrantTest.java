package io.lycheejunction.proxy.group;

import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Checks the grant of a claim for linearizability. */
@Param(name = "rank", gen = IntGen.class, conf = "0:2")
@Param(name = "now", gen = IntGen.class, conf = "0:20")
public class ClaimGrantTest {
  private static final long DURATION_MS = 10;

  private final ClaimGrant grant = new ClaimGrant();

  /** Grants a claim to another proxy. */
  @Operation
  public boolean give(@Param(name = "rank") int rank, @Param(name = "now") int nowMs) {
    return grant.give("other-" + rank, rank, nowMs, DURATION_MS);
  }

  /** Reserves the grant for the proxy itself. */
  @Operation
  public boolean reserve(@Param(name = "rank") int rank, @Param(name = "now") int nowMs) {
    return grant.reserve("self", rank, nowMs, DURATION_MS);
  }

  /** Makes the own grant firm. */
  @Operation
  public boolean hold(@Param(name = "now") int nowMs) {
    return grant.hold("self", nowMs, DURATION_MS);
  }

  /** Ends the own grant. */
  @Operation
  public void release() {
    grant.release("self");
  }

  @Test
  void shouldBeLinearizableWhenThreadsAskAtOnce() {
    new ModelCheckingOptions()
        .iterations(20)
        .invocationsPerIteration(500)
        .threads(2)
        .actorsPerThread(3)
        .check(getClass());
  }
}
