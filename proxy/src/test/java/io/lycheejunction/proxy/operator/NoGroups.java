package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.OptionalLong;

/** A group watch that knows no group. */
final class NoGroups implements GroupMonitor {
  @Override
  public GroupView view(String group) {
    return GroupView.unknown(group);
  }

  @Override
  public void mergeView(GroupView view) {}

  @Override
  public GroupView awaitHigherTerm(String group, long term, long timeoutMs) {
    return view(group);
  }

  @Override
  public Result<GroupView> confirmTerm(String group, long term, long timeoutMs) {
    return Result.failure(ResultCode.NO_PRIMARY, group);
  }

  @Override
  public Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs) {
    return Result.failure(ResultCode.UNKNOWN_OUTCOME, group);
  }

  @Override
  public boolean mayAcknowledge(String group, long term) {
    return false;
  }

  @Override
  public OptionalLong maxDataAgeMs(String group, LogPosition applied) {
    return OptionalLong.empty();
  }

  @Override
  public LogPosition lastAppliedPosition(String group, String target) {
    return LogPosition.ORIGIN;
  }

  @Override
  public void reportUnreachable(String group, String target, boolean refused) {}
}
