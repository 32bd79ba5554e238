package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.EnumSet;
import java.util.Set;

/** Classifies faults by whether the request may succeed when it is retried. */
final class RetryRules {
  private static final Set<ResultCode> TRANSIENT_CODES =
      EnumSet.of(
          ResultCode.NO_PRIMARY,
          ResultCode.NOT_PRIMARY,
          ResultCode.MAJORITY_LOST,
          ResultCode.TARGET_UNREACHABLE,
          ResultCode.TARGET_LEAVING,
          ResultCode.NOT_HOLDER,
          ResultCode.PEER_UNREACHABLE,
          ResultCode.TERM_TAKEN,
          ResultCode.NO_CONNECTION,
          ResultCode.CIRCUIT_OPEN,
          ResultCode.SHUTTING_DOWN);

  private static final Set<ResultCode> TARGET_SPECIFIC_CODES =
      EnumSet.of(
          ResultCode.NOT_FRESH,
          ResultCode.AGE_NOT_PROVEN,
          ResultCode.QUEUE_FULL,
          ResultCode.WAIT_TOO_LONG,
          ResultCode.DEADLINE_EXCEEDED);

  private RetryRules() {}

  /**
   * Returns whether the fault may end with a new primary, a new holder or a restored connection.
   *
   * @param fault the fault
   * @return true if a retry after a wait may succeed
   */
  static boolean isTransient(Fault fault) {
    return TRANSIENT_CODES.contains(fault.code());
  }

  /**
   * Returns whether a read that failed with the fault may succeed on another target.
   *
   * @param fault the fault
   * @return true if the read may be retried on another target
   */
  static boolean isRetryableOnOtherTarget(Fault fault) {
    return !fault.isNotRun() || isTransient(fault) || TARGET_SPECIFIC_CODES.contains(fault.code());
  }
}
