package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.result.Result;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

/**
 * Coalesces concurrent calls of an operation: calls that arrive while it runs share the result of
 * its next run, so that each result comes from a run that started after the call. Safe for
 * concurrent use.
 *
 * <p>The operation runs on the thread of one of the calls, with that call's deadline.
 *
 * @param <T> the type of the result's value
 */
final class CoalescedCall<T> {
  private final Function<Deadline, Result<T>> operation;
  private long startedRuns;
  private long finishedRuns;
  private Result<T> latestResult;
  private CountDownLatch running = new CountDownLatch(0);

  CoalescedCall(Function<Deadline, Result<T>> operation) {
    this.operation = Objects.requireNonNull(operation, "operation is null");
  }

  /** Returns the result of a run that started after this call. */
  Result<T> call(Deadline deadline) {
    long runsBefore = startedRuns();
    while (!deadline.isPassed()) {
      Optional<Result<T>> shared = resultOfRunAfter(runsBefore);
      if (shared.isPresent()) {
        return shared.get();
      }
      if (tryStartRun()) {
        return run(deadline);
      }
      if (!awaitRunning(deadline)) {
        break;
      }
    }
    return Deadline.exceeded();
  }

  private synchronized long startedRuns() {
    return startedRuns;
  }

  private synchronized Optional<Result<T>> resultOfRunAfter(long runsBefore) {
    return finishedRuns > runsBefore ? Optional.of(latestResult) : Optional.empty();
  }

  private synchronized boolean tryStartRun() {
    if (startedRuns > finishedRuns) {
      return false;
    }
    startedRuns++;
    running = new CountDownLatch(1);
    return true;
  }

  private Result<T> run(Deadline deadline) {
    Result<T> result = Deadline.exceeded();
    try {
      result = operation.apply(deadline);
      return result;
    } finally {
      finish(result);
    }
  }

  private synchronized void finish(Result<T> result) {
    latestResult = result;
    finishedRuns = startedRuns;
    running.countDown();
  }

  private synchronized CountDownLatch running() {
    return running;
  }

  private boolean awaitRunning(Deadline deadline) {
    try {
      return deadline.clock().awaitMs(running(), deadline.remainingMs());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
