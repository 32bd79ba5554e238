package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.configuration.AppliedLog.Offer;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;

/**
 * A state with a version that never goes back, shared by threads; reading it takes no lock.
 *
 * @param <S> the type of the immutable state
 */
final class InOrder<S> {
  private final ToLongFunction<S> versionOf;
  private final Consumer<S> published;
  private volatile S current;

  InOrder(S first, ToLongFunction<S> versionOf, Consumer<S> published) {
    this.current = Objects.requireNonNull(first, "first is null");
    this.versionOf = Objects.requireNonNull(versionOf, "versionOf is null");
    this.published = Objects.requireNonNull(published, "published is null");
  }

  S current() {
    return current;
  }

  /**
   * Returns what became of a step to a version, which is taken if the version is the next one.
   *
   * @param version the version after the step
   * @param step gives the state after the step
   * @return what became of it, or the step's fault
   */
  synchronized Result<Offer> advance(long version, Function<S, Result<S>> step) {
    long next = versionOf.applyAsLong(current) + 1;
    if (version < next) {
      return Result.success(Offer.OLD);
    }
    if (version > next) {
      return Result.success(Offer.GAP);
    }
    return step.apply(current)
        .map(
            state -> {
              publish(state);
              return Offer.APPLIED;
            });
  }

  /** Returns whether the state was replaced, which it is by one of a higher version only. */
  synchronized boolean replace(S state) {
    if (versionOf.applyAsLong(state) <= versionOf.applyAsLong(current)) {
      return false;
    }
    publish(state);
    return true;
  }

  /** Changes what does not belong to a version. */
  synchronized void update(UnaryOperator<S> change) {
    current = change.apply(current);
  }

  private void publish(S state) {
    current = state;
    published.accept(state);
  }
}
