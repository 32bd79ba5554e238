package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.configuration.AppliedLog.Offer;
import org.jetbrains.lincheck.datastructures.IntGen;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Param;
import org.junit.jupiter.api.Test;

/** Model-checks the versioned state; public because the checker loads it by reflection. */
@Param(name = "version", gen = IntGen.class, conf = "1:4")
public class InOrderLincheckTest {
  private int publications;
  private final InOrder<Long> state = new InOrder<>(0L, v -> v, v -> publications++);

  /** Returns what became of a step to a version. */
  @Operation
  public Offer advance(@Param(name = "version") int version) {
    return state.advance(version, before -> Result.success(before + 1)).getOrElse(Offer.POISONED);
  }

  /** Returns whether the state was replaced. */
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
  void shouldBeLinearizableWhenVersionsRace() {
    new ModelCheckingOptions()
        .iterations(30)
        .invocationsPerIteration(1_000)
        .threads(2)
        .actorsPerThread(3)
        .actorsBefore(1)
        .actorsAfter(1)
        .check(InOrderLincheckTest.class);
  }
}
