package io.lycheejunction.proxy.configuration;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.proxy.configuration.AppliedLog.OfferResult;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToLongFunction;
import java.util.function.UnaryOperator;

/**
 * A thread-safe state with a version that never decreases; reads take no lock.
 *
 * @param <S> the type of the immutable state
 */
final class VersionedState<S> {
  private final ToLongFunction<S> versionOf;
  private final Consumer<S> onPublish;
  private volatile S current;

  VersionedState(S first, ToLongFunction<S> versionOf, Consumer<S> onPublish) {
    this.current = Objects.requireNonNull(first, "first is null");
    this.versionOf = Objects.requireNonNull(versionOf, "versionOf is null");
    this.onPublish = Objects.requireNonNull(onPublish, "onPublish is null");
  }

  S current() {
    return current;
  }

  /**
   * Advances the state to a version if that is the next one.
   *
   * @param version the version to advance to
   * @param step returns the state of that version from the current state, or a fault
   * @return {@code APPLIED}, {@code OLD} or {@code GAP}, or the step's fault
   */
  synchronized Result<OfferResult> advance(long version, Function<S, Result<S>> step) {
    long next = versionOf.applyAsLong(current) + 1;
    if (version < next) {
      return Result.success(OfferResult.OLD);
    }
    if (version > next) {
      return Result.success(OfferResult.GAP);
    }
    return step.apply(current)
        .map(
            state -> {
              publish(state);
              return OfferResult.APPLIED;
            });
  }

  /** Replaces the state if the new version is higher; returns whether it did. */
  synchronized boolean replace(S state) {
    if (versionOf.applyAsLong(state) <= versionOf.applyAsLong(current)) {
      return false;
    }
    publish(state);
    return true;
  }

  /** Changes parts of the state that are not versioned; publishes nothing. */
  synchronized void update(UnaryOperator<S> change) {
    current = change.apply(current);
  }

  private void publish(S state) {
    current = state;
    onPublish.accept(state);
  }
}
