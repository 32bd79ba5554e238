package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.failover.FailureDetector;
import io.lycheejunction.core.group.GroupReport;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;

/** Builds the reports of groups for operators. */
final class GroupReportBuilder {
  private final GroupProber prober;
  private final GroupStates states;
  private final Failover failover;
  private final RuntimeClock clock;
  private final GroupSettings settings;

  GroupReportBuilder(
      GroupProber prober,
      GroupStates states,
      Failover failover,
      RuntimeClock clock,
      GroupSettings settings) {
    this.prober = Objects.requireNonNull(prober, "prober is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.failover = Objects.requireNonNull(failover, "failover is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
  }

  /**
   * Returns the report of a group.
   *
   * @param spec the group
   * @return the report
   */
  GroupReport of(GroupSpec spec) {
    GroupState state = states.of(spec.name());
    long nowMs = clock.monotonicMs();
    LogPosition primaryReceived =
        state
            .view()
            .primary()
            .flatMap(state::status)
            .map(TargetStatus::received)
            .orElse(LogPosition.ORIGIN);
    List<GroupReport.Instance> instances = new ArrayList<>();
    for (TargetSpec target : spec.targets()) {
      Optional<TargetStatus> status = state.status(target.name());
      status.ifPresent(s -> instances.add(instance(s, state, primaryReceived, nowMs)));
    }
    return new GroupReport(
        state.view(),
        prober.monitoredGroups().contains(spec),
        state.lease().covers(state.view().term(), nowMs, settings.ackLeaseMs()),
        instances,
        failover.lastPromotion(spec.name()));
  }

  private static GroupReport.Instance instance(
      TargetStatus status, GroupState state, LogPosition primaryReceived, long nowMs) {
    FailureDetector failureDetector = state.failureDetector(status.target(), nowMs);
    return new GroupReport.Instance(
        status.target(),
        status.term(),
        status.role(),
        status.received(),
        status.applied(),
        Math.max(0, primaryReceived.offset() - status.applied().offset()),
        state.ageMs(status.applied(), nowMs),
        failureDetector.sinceLastAnswerMs(nowMs),
        failureDetector.isGone(nowMs));
  }
}
