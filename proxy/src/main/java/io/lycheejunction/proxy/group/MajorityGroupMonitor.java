package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/** Provides the request path with the results of majority rounds; thread-safe. */
public final class MajorityGroupMonitor implements GroupMonitor {
  private static final long POLL_INTERVAL_MS = 5;

  private final ConfigurationSource configuration;
  private final GroupStates states;
  private final StatusRounds rounds;
  private final RuntimeClock clock;
  private final GroupSettings settings;
  private final GroupViewExchange viewExchange;
  private final Map<String, MajorityConfirmer> confirmers = new ConcurrentHashMap<>();

  /**
   * Creates the monitor.
   *
   * @param configuration the source of the groups
   * @param states the states of the groups, which the rounds update
   * @param rounds runs status rounds
   * @param viewExchange exchanges views with other proxies
   * @param clock the runtime clock
   * @param settings the settings
   */
  MajorityGroupMonitor(
      ConfigurationSource configuration,
      GroupStates states,
      StatusRounds rounds,
      GroupViewExchange viewExchange,
      RuntimeClock clock,
      GroupSettings settings) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.rounds = Objects.requireNonNull(rounds, "rounds is null");
    this.viewExchange = Objects.requireNonNull(viewExchange, "viewExchange is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
  }

  @Override
  public GroupView view(String group) {
    return states.of(group).view();
  }

  @Override
  public void mergeView(GroupView view) {
    states.of(view.group()).mergeView(view);
  }

  @Override
  public GroupView awaitHigherTerm(String group, long term, long timeoutMs) {
    long deadlineMs = clock.monotonicMs() + timeoutMs;
    GroupView view = view(group);
    while (view.term() <= term) {
      long remainingMs = deadlineMs - clock.monotonicMs();
      if (remainingMs <= 0) {
        return view;
      }
      spec(group).ifPresent(viewExchange::requestView);
      if (view(group).term() <= term && !sleep(Math.min(POLL_INTERVAL_MS, remainingMs))) {
        return view;
      }
      view = view(group);
    }
    return view;
  }

  private boolean sleep(long durationMs) {
    try {
      clock.sleepMs(durationMs);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  @Override
  public Result<GroupView> confirmTerm(String group, long term, long timeoutMs) {
    return spec(group)
        .map(spec -> confirmer(group).confirmTerm(spec, term, timeoutMs))
        .orElseGet(() -> unknownGroup(ResultCode.NO_PRIMARY, group));
  }

  @Override
  public Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs) {
    return spec(group)
        .map(spec -> confirmer(group).confirmReceived(spec, position, timeoutMs))
        .orElseGet(() -> unknownGroup(ResultCode.UNKNOWN_OUTCOME, group));
  }

  private Optional<GroupSpec> spec(String group) {
    return configuration.current().group(group);
  }

  private static Result<GroupView> unknownGroup(ResultCode code, String group) {
    return Result.failure(code, "group " + group + " is not in the configuration");
  }

  private MajorityConfirmer confirmer(String group) {
    return confirmers.computeIfAbsent(
        group, name -> new MajorityConfirmer(states.of(name), rounds, clock, settings));
  }

  @Override
  public boolean mayAcknowledge(String group, long term) {
    return confirmer(group).mayAcknowledge(term);
  }

  @Override
  public OptionalLong maxDataAgeMs(String group, LogPosition applied) {
    return states.of(group).ageMs(applied, clock.monotonicMs());
  }

  @Override
  public LogPosition lastAppliedPosition(String group, String target) {
    return states.of(group).status(target).map(TargetStatus::applied).orElse(LogPosition.ORIGIN);
  }

  @Override
  public void reportUnreachable(String group, String target, boolean refused) {
    GroupState state = states.of(group);
    if (refused) {
      state.recordRefusedConnection(target, clock.monotonicMs());
    } else {
      state.recordRequest(target, clock.monotonicMs());
    }
  }
}
