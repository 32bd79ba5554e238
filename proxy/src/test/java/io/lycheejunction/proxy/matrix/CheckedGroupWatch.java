package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderSettings;
import java.util.OptionalLong;

/**
 * Records a violation when a replaced primary may acknowledge, and skips majority confirmation when
 * the fleet omits a safety rule that depends on it.
 */
record CheckedGroupWatch(GroupWatch watch, Fleet fleet) implements GroupWatch {
  private boolean isOmitted(SafetyRule rule) {
    return fleet.omittedRule == rule;
  }

  @Override
  public boolean mayAcknowledge(String group, long term) {
    boolean isAllowed =
        isOmitted(SafetyRule.MAJORITY_ACKNOWLEDGEMENT) || watch.mayAcknowledge(group, term);
    fleet.history.check(
        !isAllowed || !fleet.isReplaced(term), "a replaced primary was allowed to acknowledge");
    return isAllowed;
  }

  @Override
  public Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs) {
    // A read waits at most confirmMs for the confirmation, a write until its deadline.
    boolean isRead = timeoutMs <= HolderSettings.defaults().confirmMs();
    boolean isCheckOmitted =
        isOmitted(SafetyRule.MAJORITY_ACKNOWLEDGEMENT)
            || (isRead && isOmitted(SafetyRule.TERM_FIRST_AND_SHARED));
    return isCheckOmitted
        ? Result.success(watch.view(group))
        : watch.confirmReceived(group, position, timeoutMs);
  }

  @Override
  public GroupView view(String group) {
    return watch.view(group);
  }

  @Override
  public void learn(GroupView view) {
    watch.learn(view);
  }

  @Override
  public GroupView awaitHigherTerm(String group, long term, long timeoutMs) {
    return watch.awaitHigherTerm(group, term, timeoutMs);
  }

  @Override
  public Result<GroupView> confirmTerm(String group, long term, long timeoutMs) {
    return watch.confirmTerm(group, term, timeoutMs);
  }

  @Override
  public OptionalLong ageMs(String group, LogPosition applied) {
    return watch.ageMs(group, applied);
  }

  @Override
  public LogPosition applied(String group, String target) {
    return watch.applied(group, target);
  }

  @Override
  public void unreachable(String group, String target, boolean refused) {
    watch.unreachable(group, target, refused);
  }
}
