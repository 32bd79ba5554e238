package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import java.util.OptionalLong;

/** Returns the same view for every group, which a test can replace. */
final class FakeGroupMonitor implements GroupMonitor {
  private final RuntimeClock clock;
  private volatile GroupView view;

  FakeGroupMonitor(RuntimeClock clock, GroupView view) {
    this.clock = clock;
    this.view = view;
  }

  void set(GroupView next) {
    view = next;
  }

  @Override
  public GroupView view(String group) {
    return view;
  }

  @Override
  public void mergeView(GroupView other) {
    view = view.merge(other);
  }

  @Override
  public GroupView awaitHigherTerm(String group, long term, long timeoutMs) {
    try {
      clock.sleepMs(timeoutMs);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return view;
  }

  @Override
  public Result<GroupView> confirmTerm(String group, long term, long timeoutMs) {
    return Result.success(view);
  }

  @Override
  public Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs) {
    return Result.success(view);
  }

  @Override
  public boolean mayAcknowledge(String group, long term) {
    return true;
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
