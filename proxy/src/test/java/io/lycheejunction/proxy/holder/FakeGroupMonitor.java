package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;

/**
 * A stub monitor of one group: a test sets its answers, and calls that report something are
 * recorded.
 */
final class FakeGroupMonitor implements GroupMonitor {
  GroupView view = new GroupView("g", 1, Optional.of("t1"), new LogPosition(1, 10));
  Fault termFault = null;
  Fault receivedFault = null;
  BooleanSupplier mayAcknowledge = () -> true;
  OptionalLong ageMs = OptionalLong.of(5);
  LogPosition applied = new LogPosition(1, 10);
  final List<LogPosition> confirmedPositions = new ArrayList<>();
  final List<String> unreachable = new ArrayList<>();

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
    return view;
  }

  @Override
  public Result<GroupView> confirmTerm(String group, long term, long timeoutMs) {
    return termFault == null ? Result.success(view) : Result.failure(termFault);
  }

  @Override
  public Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs) {
    confirmedPositions.add(position);
    return receivedFault == null ? Result.success(view) : Result.failure(receivedFault);
  }

  @Override
  public boolean mayAcknowledge(String group, long term) {
    return mayAcknowledge.getAsBoolean();
  }

  @Override
  public OptionalLong maxDataAgeMs(String group, LogPosition position) {
    return ageMs;
  }

  @Override
  public LogPosition lastAppliedPosition(String group, String target) {
    return applied;
  }

  @Override
  public void reportUnreachable(String group, String target, boolean refused) {
    unreachable.add(target + (refused ? " refused" : " silent"));
  }
}
