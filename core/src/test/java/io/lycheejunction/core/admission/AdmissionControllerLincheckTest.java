package io.lycheejunction.core.admission;

import io.lycheejunction.core.clock.RuntimeClock;
import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.jetbrains.lincheck.datastructures.Validate;
import org.junit.jupiter.api.Test;

/**
 * Model-checks an admission controller with one slot and a queue of two: threads that submit,
 * cancel and release at once must neither exceed these limits nor get results that no sequential
 * order explains.
 */
public class AdmissionControllerLincheckTest {
  private final AdmissionController controller = new AdmissionController(new FixedClock(), 1, 2);
  private final Ticket first = controller.submit(request());
  private final Ticket waiting = controller.submit(request());

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

  private static AdmissionRequest request() {
    return new AdmissionRequest("a", 1, "vm1", PriorityClass.URGENT, 1_000);
  }

  /** Returns the code with which a new request is refused at once, or {@code accepted}. */
  @Operation
  public String submit() {
    Ticket ticket = controller.submit(request());
    return ticket.fault().map(fault -> fault.code().name()).orElse("accepted");
  }

  /** Returns whether the request that waits from the start was granted before it was cancelled. */
  @Operation(runOnce = true)
  public boolean cancel() {
    controller.cancel(waiting);
    return waiting.fault().isEmpty();
  }

  /** Frees the slot of the request that runs from the start. */
  @Operation(runOnce = true)
  public void release() {
    controller.release(first);
  }

  /** Checks that neither the slots nor the queue hold more than allowed. */
  @Validate
  public void check() {
    if (controller.running() > 1 || controller.queued() > 2) {
      throw new IllegalStateException("more than 1 request runs or more than 2 wait");
    }
  }

  @Test
  void shouldBeLinearizableWhenUsedConcurrently() {
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
