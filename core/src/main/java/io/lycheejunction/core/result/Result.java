package io.lycheejunction.core.result;

import java.util.Objects;
import java.util.function.Function;

/**
 * Either a value, or the fault that explains why there is none.
 *
 * @param <T> the type of the value
 */
public sealed interface Result<T> {

  /**
   * A result with a value.
   *
   * @param value the value, never null
   * @param <T> the type of the value
   */
  record Success<T>(T value) implements Result<T> {
    /** Rejects a null value. */
    public Success {
      Objects.requireNonNull(value, "value is null");
    }
  }

  /**
   * A result with a fault.
   *
   * @param fault the fault, never null
   * @param <T> the type of the value that is missing
   */
  record Failure<T>(Fault fault) implements Result<T> {
    /** Rejects a null fault. */
    public Failure {
      Objects.requireNonNull(fault, "fault is null");
    }
  }

  /**
   * Returns a result that holds the value.
   *
   * @param value the value
   * @param <T> the type of the value
   * @return the success
   */
  static <T> Result<T> success(T value) {
    return new Success<>(value);
  }

  /**
   * Returns a result that holds the fault.
   *
   * @param fault the fault
   * @param <T> the type of the missing value
   * @return the failure
   */
  static <T> Result<T> failure(Fault fault) {
    return new Failure<>(fault);
  }

  /**
   * Returns a result that holds a fault of the given code.
   *
   * @param code the result code
   * @param detail a one-line description for people, without secrets
   * @param <T> the type of the missing value
   * @return the failure
   */
  static <T> Result<T> failure(ResultCode code, String detail) {
    return new Failure<>(Fault.of(code, detail));
  }

  /**
   * Returns whether the result holds no value.
   *
   * @return true for a failure
   */
  default boolean isEmpty() {
    return this instanceof Failure<T>;
  }

  /**
   * Returns the result of applying the mapper to the value, or the same fault.
   *
   * @param mapper the function to apply
   * @param <U> the type of the new value
   * @return the mapped result, or the same fault
   */
  default <U> Result<U> map(Function<? super T, ? extends U> mapper) {
    Objects.requireNonNull(mapper, "mapper is null");
    return flatMap(value -> new Success<>(mapper.apply(value)));
  }

  /**
   * Returns the result that the mapper returns for the value, or the same fault.
   *
   * @param mapper the function to apply
   * @param <U> the type of the new value
   * @return the mapped result, or the same fault
   */
  default <U> Result<U> flatMap(Function<? super T, Result<U>> mapper) {
    Objects.requireNonNull(mapper, "mapper is null");
    return switch (this) {
      case Success<T>(T value) -> mapper.apply(value);
      case Failure<T>(Fault fault) -> new Failure<>(fault);
    };
  }

  /**
   * Returns the value of one of two functions, applied to the fault or to the value.
   *
   * @param onFailure applied to the fault
   * @param onSuccess applied to the value
   * @param <U> the type of the returned value
   * @return the value that the applied function returns
   */
  default <U> U fold(
      Function<? super Fault, ? extends U> onFailure, Function<? super T, ? extends U> onSuccess) {
    return switch (this) {
      case Success<T>(T value) -> onSuccess.apply(value);
      case Failure<T>(Fault fault) -> onFailure.apply(fault);
    };
  }

  /**
   * Returns the value, or the given value for a failure.
   *
   * @param other the value to return for a failure
   * @return the value
   */
  default T getOrElse(T other) {
    return switch (this) {
      case Success<T>(T value) -> value;
      case Failure<T> failure -> other;
    };
  }
}
