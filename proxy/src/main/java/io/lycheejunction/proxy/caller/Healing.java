package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.EnumSet;
import java.util.Set;

/** Tells which refusals may pass while a request waits. */
final class Healing {
  private static final Set<ResultCode> HEALING =
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

  private static final Set<ResultCode> OTHER_TARGET_MAY_ANSWER =
      EnumSet.of(
          ResultCode.NOT_FRESH,
          ResultCode.AGE_NOT_PROVEN,
          ResultCode.QUEUE_FULL,
          ResultCode.WAIT_TOO_LONG,
          ResultCode.DEADLINE_EXCEEDED);

  private Healing() {}

  /**
   * Returns whether a new primary, a new holder or a mended link would lift the refusal.
   *
   * @param fault the refusal
   * @return true if waiting may help
   */
  static boolean mayHeal(Fault fault) {
    return HEALING.contains(fault.code());
  }

  /**
   * Returns whether a read that got the fault may succeed on another target.
   *
   * @param fault the fault
   * @return true if another target is worth a try
   */
  static boolean mayAnswerElsewhere(Fault fault) {
    return !fault.isNotRun() || mayHeal(fault) || OTHER_TARGET_MAY_ANSWER.contains(fault.code());
  }
}
