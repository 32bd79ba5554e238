package io.lycheejunction.core.admission;

import io.lycheejunction.core.clock.RuntimeClock;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Validate;
import org.junit.jupiter.api.Test;

/** Model-checks an admission of one slot and a queue of two under concurrent use. */
public class AdmissionLincheckTest {
  private final Admission admission = new Admission(new FixedClock(), 1, 2);
  private final Ticket first = admission.enter(ask());
  private final Ticket waiting = admission.enter(ask());

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

  private static Ask ask() {
    return new Ask("a", 1, "vm1", Lane.URGENT, 1_000);
  }

  /** Returns what is decided of a request at once. */
  @Operation
  public String enter() {
    Ticket ticket = admission.enter(ask());
    return ticket.fault().map(fault -> fault.code().name()).orElse("accepted");
  }

  /** Returns whether the request that waits from the start was granted before it gave up. */
  @Operation(runOnce = true)
  public boolean giveUp() {
    admission.giveUp(waiting);
    return waiting.fault().isEmpty();
  }

  /** Frees the slot of the request that runs from the start. */
  @Operation(runOnce = true)
  public void release() {
    admission.release(first);
  }

  /** Checks the limits. */
  @Validate
  public void check() {
    if (admission.running() > 1 || admission.queued() > 2) {
      throw new IllegalStateException("limits passed");
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
