package io.lycheejunction.proxy.holder;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

/** Remembers how transactions ended, so that a repeated commit gets a true answer. */
final class FinishedTransactions {
  private static final int MAX_ENTRIES = 10_000;
  private static final Pattern SECRET = Pattern.compile("[0-9a-f]{32}");

  private record Finished(String service, Result<HeldAnswer> outcome) {}

  private final Cache<String, Finished> cache;

  FinishedTransactions(RuntimeClock clock, long retentionMs) {
    this.cache =
        Caffeine.newBuilder()
            .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock.monotonicMs()))
            .executor(Runnable::run)
            .maximumSize(MAX_ENTRIES)
            .expireAfterWrite(Duration.ofMillis(retentionMs))
            .build();
  }

  void add(String id, String service, Result<HeldAnswer> outcome) {
    cache.put(id, new Finished(service, outcome));
  }

  /**
   * Returns the answer to a step of a transaction that is not open.
   *
   * <p>A commit of a transaction that is not remembered may have been done before, so that its
   * outcome is unknown; other steps have not run.
   */
  Result<HeldAnswer> answer(TransactionStep step) {
    Optional<Finished> finished = Optional.ofNullable(cache.getIfPresent(step.id()));
    if (finished.isPresent() && !finished.get().service().equals(step.service())) {
      return unknownTransaction();
    }
    if (step.action().kind() != TransactionStep.Kind.COMMIT) {
      return unknownTransaction();
    }
    if (finished.isPresent()) {
      return finished.get().outcome();
    }
    return forgotten(step);
  }

  /** Returns the answer to a step of a transaction of which nothing is remembered. */
  static Result<HeldAnswer> forgotten(TransactionStep step) {
    String secret = step.id().substring(step.id().lastIndexOf(':') + 1);
    boolean mayBeCommitted =
        step.action().kind() == TransactionStep.Kind.COMMIT && SECRET.matcher(secret).matches();
    return mayBeCommitted
        ? Result.failure(ResultCode.UNKNOWN_OUTCOME, "the transaction may have been committed")
        : unknownTransaction();
  }

  private static Result<HeldAnswer> unknownTransaction() {
    return Result.failure(ResultCode.UNKNOWN_TRANSACTION, "the transaction is not open here");
  }
}
