package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.configuration.AppliedLog.OfferResult;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/**
 * Guards against versions that are skipped, repeated or lowered when threads advance and replace
 * the state concurrently. Public because the model checker loads it by reflection.
 */
@Param(name = "version", gen = IntGen.class, conf = "1:4")
public class VersionedStateLincheckTest {
  private int publications;
  private final VersionedState<Long> state =
      new VersionedState<>(0L, version -> version, version -> publications++);

  /** Advances the state to a version. */
  @Operation
  public OfferResult advance(@Param(name = "version") int version) {
    return state
        .advance(version, current -> Result.success(current + 1))
        .getOrElse(OfferResult.POISONED);
  }

  /** Replaces the state if the version is higher. */
  @Operation
  public boolean replace(@Param(name = "version") int version) {
    return state.replace((long) version);
  }

  /** Returns the version. */
  @Operation
  public long current() {
    return state.current();
  }

  @Test
  void shouldBeLinearizableWhenThreadsAdvanceAndReplace() {
    new ModelCheckingOptions()
        .iterations(30)
        .invocationsPerIteration(1_000)
        .threads(2)
        .actorsPerThread(3)
        .actorsBefore(1)
        .actorsAfter(1)
        .check(VersionedStateLincheckTest.class);
  }
}
