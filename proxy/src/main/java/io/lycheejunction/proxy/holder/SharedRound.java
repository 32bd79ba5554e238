package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.result.Result;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;

/**
 * Lets concurrent callers share the result of a step that started after each of their calls; safe
 * for concurrent use.
 *
 * <p>The step runs on the thread of one of the callers and gets that caller's deadline.
 *
 * @param <T> the type of the result's value
 */
final class SharedRound<T> {
  private final Function<Deadline, Result<T>> step;
  private long started;
  private long finished;
  private Result<T> latest;
  private CountDownLatch running = new CountDownLatch(0);

  SharedRound(Function<Deadline, Result<T>> step) {
    this.step = Objects.requireNonNull(step, "step is null");
  }

  /** Returns the result of a step that started after this call. */
  Result<T> call(Deadline deadline) {
    long known = started();
    while (!deadline.isPassed()) {
      Optional<Result<T>> shared = since(known);
      if (shared.isPresent()) {
        return shared.get();
      }
      if (tryStart()) {
        return run(deadline);
      }
      if (!awaitRunning(deadline)) {
        break;
      }
    }
    return Deadline.exceeded();
  }

  private synchronized long started() {
    return started;
  }

  private synchronized Optional<Result<T>> since(long known) {
    return finished > known ? Optional.of(latest) : Optional.empty();
  }

  private synchronized boolean tryStart() {
    if (started > finished) {
      return false;
    }
    started++;
    running = new CountDownLatch(1);
    return true;
  }

  private Result<T> run(Deadline deadline) {
    Result<T> result = Deadline.exceeded();
    try {
      result = step.apply(deadline);
      return result;
    } finally {
      finish(result);
    }
  }

  private synchronized void finish(Result<T> result) {
    latest = result;
    finished = started;
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
