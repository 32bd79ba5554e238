package io.lycheejunction.core.result;

import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.Objects;

/**
 * The reason why a request failed.
 *
 * @param code the numbered result code
 * @param detail a one-line description for people, without secrets
 * @param retryAfterMs the time after which a retry is worthwhile, in milliseconds; 0 if unknown
 */
public record Fault(ResultCode code, String detail, long retryAfterMs) {
  /** Rejects null components. */
  public Fault {
    Objects.requireNonNull(code, "code is null");
    Objects.requireNonNull(detail, "detail is null");
  }

  /**
   * Returns a fault without a retry delay.
   *
   * @param code the result code
   * @param detail a one-line description for people, without secrets
   * @return the fault
   */
  public static Fault of(ResultCode code, String detail) {
    return new Fault(code, detail, 0);
  }

  /**
   * Returns whether the request is proven to have had no effect.
   *
   * @return true if the outcome is {@link Outcome#REFUSED_NOT_RUN}
   */
  @JsonIgnore
  public boolean isNotRun() {
    return code.outcome() == Outcome.REFUSED_NOT_RUN;
  }
}
