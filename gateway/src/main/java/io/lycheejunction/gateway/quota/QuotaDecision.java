package io.lycheejunction.gateway.quota;

import io.lycheejunction.core.result.Fault;
import java.util.Objects;

/** Whether an operation may start under the quota of its organisation. */
public sealed interface QuotaDecision {

  /**
   * It may.
   *
   * @param permit the tokens that it has used, to give back if it is not sent to a target
   */
  record Allowed(QuotaPermit permit) implements QuotaDecision {
    /** Rejects null components. */
    public Allowed {
      Objects.requireNonNull(permit, "permit is null");
    }
  }

  /**
   * It may not.
   *
   * @param fault the refusal, with the time until there is room
   */
  record Refused(Fault fault) implements QuotaDecision {
    /** Rejects null components. */
    public Refused {
      Objects.requireNonNull(fault, "fault is null");
    }
  }
}
