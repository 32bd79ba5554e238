package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;

/** Decides whether the answer of a primary may be given to a caller. */
final class Acknowledgement {
  private static final int MAX_CONFIRMATIONS = 3;

  private final GroupWatch watch;

  Acknowledgement(GroupWatch watch) {
    this.watch = watch;
  }

  /**
   * Returns the group's view at a moment at which an answer of the term may be sent: its position
   * is as durable as asked for, and the acknowledgement lease has not passed.
   *
   * @param group the name of the group
   * @param term the term in which the statement ran
   * @param durability the rule of the service
   * @param position the position of the answer
   * @param deadline the request's deadline
   * @return the view, or {@code UNKNOWN_OUTCOME}
   */
  Result<GroupView> await(
      String group, long term, Durability durability, LogPosition position, Deadline deadline) {
    if (durability == Durability.PRIMARY && watch.mayAcknowledge(group, term)) {
      return Result.success(watch.view(group));
    }
    for (int i = 0; i < MAX_CONFIRMATIONS && !deadline.isPassed(); i++) {
      Result<GroupView> confirmed = confirm(group, term, durability, position, deadline);
      if (confirmed.isEmpty()) {
        return unknown(confirmed.fold(fault -> fault.detail(), view -> ""));
      }
      if (watch.mayAcknowledge(group, term)) {
        return confirmed;
      }
    }
    return unknown("the acknowledgement lease passed");
  }

  private Result<GroupView> confirm(
      String group, long term, Durability durability, LogPosition position, Deadline deadline) {
    return switch (durability) {
      case MAJORITY -> watch.confirmReceived(group, inTerm(position, term), deadline.remainingMs());
      case PRIMARY -> watch.confirmTerm(group, term, deadline.remainingMs());
    };
  }

  /**
   * Returns a position of the term that includes the given one.
   *
   * <p>A recorded answer may come from an earlier term. The primary's log holds it before the first
   * entry of the primary's own term, so whoever has received an entry of that term has it too.
   */
  private static LogPosition inTerm(LogPosition position, long term) {
    return position.term() < term ? new LogPosition(term, 1) : position;
  }

  private static Result<GroupView> unknown(String detail) {
    return Result.failure(ResultCode.UNKNOWN_OUTCOME, "executed but not confirmed: " + detail);
  }
}
