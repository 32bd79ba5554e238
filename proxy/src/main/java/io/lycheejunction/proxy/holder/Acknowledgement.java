package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;

/** Confirms that the answer of a primary may be sent to a caller. */
final class Acknowledgement {
  private static final int MAX_CONFIRMATIONS = 3;

  private final GroupMonitor monitor;

  Acknowledgement(GroupMonitor monitor) {
    this.monitor = monitor;
  }

  /**
   * Returns the group's view once an answer of the term may be sent: its position has the required
   * durability and the acknowledgement lease has not expired.
   *
   * @param group the name of the group
   * @param term the term in which the statement ran
   * @param durability the required durability
   * @param position the log position of the answer
   * @param deadline the request's deadline
   * @return the view; {@code UNKNOWN_OUTCOME} if the position or the term was not confirmed before
   *     the deadline, or the lease expired after each of the confirmations
   */
  Result<GroupView> await(
      String group, long term, Durability durability, LogPosition position, Deadline deadline) {
    if (durability == Durability.PRIMARY && monitor.mayAcknowledge(group, term)) {
      return Result.success(monitor.view(group));
    }
    for (int i = 0; i < MAX_CONFIRMATIONS && !deadline.isPassed(); i++) {
      Result<GroupView> confirmed = confirm(group, term, durability, position, deadline);
      if (confirmed.isEmpty()) {
        return unknownOutcome(confirmed.fold(fault -> fault.detail(), view -> ""));
      }
      if (monitor.mayAcknowledge(group, term)) {
        return confirmed;
      }
    }
    return unknownOutcome("the acknowledgement lease expired");
  }

  private Result<GroupView> confirm(
      String group, long term, Durability durability, LogPosition position, Deadline deadline) {
    return switch (durability) {
      case MAJORITY ->
          monitor.confirmReceived(group, raiseToTerm(position, term), deadline.remainingMs());
      case PRIMARY -> monitor.confirmTerm(group, term, deadline.remainingMs());
    };
  }

  /**
   * Returns the given position, or the first one of the term if the given one is of an earlier
   * term.
   *
   * <p>The recorded answer of a repeated write may come from an earlier term. The primary's log
   * contains it before the first entry of the primary's own term, so an instance that has received
   * an entry of that term has received the earlier position too.
   */
  private static LogPosition raiseToTerm(LogPosition position, long term) {
    return position.term() < term ? new LogPosition(term, 1) : position;
  }

  private static Result<GroupView> unknownOutcome(String detail) {
    return Result.failure(ResultCode.UNKNOWN_OUTCOME, "executed but not confirmed: " + detail);
  }
}
