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

/** Caches the outcomes of ended transactions, so that a repeated commit gets the same answer. */
final class FinishedTransactions {
  private static final int MAX_ENTRIES = 10_000;
  private static final Pattern RANDOM_TOKEN = Pattern.compile("[0-9a-f]{32}");

  private record Finished(String service, Result<HolderAnswer> outcome) {}

  private final Cache<String, Finished> outcomes;

  FinishedTransactions(RuntimeClock clock, long retentionMs) {
    this.outcomes =
        Caffeine.newBuilder()
            .ticker(() -> TimeUnit.MILLISECONDS.toNanos(clock.monotonicMs()))
            .executor(Runnable::run)
            .maximumSize(MAX_ENTRIES)
            .expireAfterWrite(Duration.ofMillis(retentionMs))
            .build();
  }

  void add(String id, String service, Result<HolderAnswer> outcome) {
    outcomes.put(id, new Finished(service, outcome));
  }

  /**
   * Returns the answer to a step of a transaction that is not open.
   *
   * <p>A transaction without a cached outcome may have been committed before, so the outcome of its
   * commit is unknown; any other step has certainly not run.
   */
  Result<HolderAnswer> answerFor(TransactionStep step) {
    Optional<Finished> finished = Optional.ofNullable(outcomes.getIfPresent(step.id()));
    if (finished.isPresent() && !finished.get().service().equals(step.service())) {
      return unknownTransaction();
    }
    if (step.action().kind() != TransactionStep.Kind.COMMIT) {
      return unknownTransaction();
    }
    if (finished.isPresent()) {
      return finished.get().outcome();
    }
    return answerWithoutOutcome(step);
  }

  /** Returns the answer to a step of a transaction without a cached outcome. */
  static Result<HolderAnswer> answerWithoutOutcome(TransactionStep step) {
    String randomToken = step.id().substring(step.id().lastIndexOf(':') + 1);
    boolean mayBeCommitted =
        step.action().kind() == TransactionStep.Kind.COMMIT
            && RANDOM_TOKEN.matcher(randomToken).matches();
    return mayBeCommitted
        ? Result.failure(ResultCode.UNKNOWN_OUTCOME, "the transaction may have been committed")
        : unknownTransaction();
  }

  private static Result<HolderAnswer> unknownTransaction() {
    return Result.failure(
        ResultCode.UNKNOWN_TRANSACTION, "the transaction is not open on this proxy");
  }
}
