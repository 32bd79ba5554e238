package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderSettings;
import java.util.OptionalLong;

/**
 * Records a violation when a replaced primary may acknowledge, and skips majority confirmation when
 * the fleet omits a safety rule that depends on it.
 */
record CheckedGroupWatch(GroupMonitor monitor, Fleet fleet) implements GroupMonitor {
  private boolean isOmitted(SafetyRule rule) {
    return fleet.omittedRule == rule;
  }

  @Override
  public boolean mayAcknowledge(String group, long term) {
    boolean isAllowed =
        isOmitted(SafetyRule.MAJORITY_ACKNOWLEDGEMENT) || monitor.mayAcknowledge(group, term);
    fleet.history.check(
        !isAllowed || !fleet.isReplaced(term), "a replaced primary was allowed to acknowledge");
    return isAllowed;
  }

  @Override
  public Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs) {
    // A read waits at most confirmMs for the confirmation, a write until its deadline.
    boolean isRead = timeoutMs <= HolderSettings.defaults().confirmTimeoutMs();
    boolean isCheckOmitted =
        isOmitted(SafetyRule.MAJORITY_ACKNOWLEDGEMENT)
            || (isRead && isOmitted(SafetyRule.TERM_FIRST_AND_SHARED));
    return isCheckOmitted
        ? Result.success(monitor.view(group))
        : monitor.confirmReceived(group, position, timeoutMs);
  }

  @Override
  public GroupView view(String group) {
    return monitor.view(group);
  }

  @Override
  public void mergeView(GroupView view) {
    monitor.mergeView(view);
  }

  @Override
  public GroupView awaitHigherTerm(String group, long term, long timeoutMs) {
    return monitor.awaitHigherTerm(group, term, timeoutMs);
  }

  @Override
  public Result<GroupView> confirmTerm(String group, long term, long timeoutMs) {
    return monitor.confirmTerm(group, term, timeoutMs);
  }

  @Override
  public OptionalLong maxDataAgeMs(String group, LogPosition applied) {
    return monitor.maxDataAgeMs(group, applied);
  }

  @Override
  public LogPosition lastAppliedPosition(String group, String target) {
    return monitor.lastAppliedPosition(group, target);
  }

  @Override
  public void reportUnreachable(String group, String target, boolean refused) {
    monitor.reportUnreachable(group, target, refused);
  }
}
