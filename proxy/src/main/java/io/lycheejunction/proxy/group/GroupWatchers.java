package io.lycheejunction.proxy.group;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.ConcurrentHashMap;

/** Answers the request path from what the rounds have proven; safe for use by several threads. */
public final class GroupWatchers implements GroupWatch {
  private static final long WAIT_STEP_MS = 5;

  private final ConfigurationSource configuration;
  private final GroupStates states;
  private final Rounds rounds;
  private final RuntimeClock clock;
  private final GroupSettings settings;
  private final GroupViews views;
  private final Map<String, Confirmations> confirmations = new ConcurrentHashMap<>();

  /**
   * Creates the watch.
   *
   * @param configuration gives the groups
   * @param states receives what is known of the groups
   * @param rounds asks the instances
   * @param views exchanges views with other proxies
   * @param clock the runtime clock
   * @param settings the settings
   */
  GroupWatchers(
      ConfigurationSource configuration,
      GroupStates states,
      Rounds rounds,
      GroupViews views,
      RuntimeClock clock,
      GroupSettings settings) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.states = Objects.requireNonNull(states, "states is null");
    this.rounds = Objects.requireNonNull(rounds, "rounds is null");
    this.views = Objects.requireNonNull(views, "views is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.settings = Objects.requireNonNull(settings, "settings is null");
  }

  @Override
  public GroupView view(String group) {
    return states.of(group).view();
  }

  @Override
  public void learn(GroupView view) {
    states.of(view.group()).learn(view);
  }

  @Override
  public GroupView awaitHigherTerm(String group, long term, long timeoutMs) {
    long untilMs = clock.monotonicMs() + timeoutMs;
    GroupView view = view(group);
    while (view.term() <= term) {
      long remainingMs = untilMs - clock.monotonicMs();
      if (remainingMs <= 0) {
        return view;
      }
      spec(group).ifPresent(views::ask);
      if (view(group).term() <= term && !sleep(Math.min(WAIT_STEP_MS, remainingMs))) {
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
        .map(spec -> confirmations(group).confirmTerm(spec, term, timeoutMs))
        .orElseGet(() -> unknownGroup(ResultCode.NO_PRIMARY, group));
  }

  @Override
  public Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs) {
    return spec(group)
        .map(spec -> confirmations(group).confirmReceived(spec, position, timeoutMs))
        .orElseGet(() -> unknownGroup(ResultCode.UNKNOWN_OUTCOME, group));
  }

  private Optional<GroupSpec> spec(String group) {
    return configuration.current().group(group);
  }

  private static Result<GroupView> unknownGroup(ResultCode code, String group) {
    return Result.failure(code, "group " + group + " is not in the configuration");
  }

  private Confirmations confirmations(String group) {
    return confirmations.computeIfAbsent(
        group, name -> new Confirmations(states.of(name), rounds, clock, settings));
  }

  @Override
  public boolean mayAcknowledge(String group, long term) {
    return confirmations(group).mayAcknowledge(term);
  }

  @Override
  public OptionalLong ageMs(String group, LogPosition applied) {
    return states.of(group).ageMs(applied, clock.monotonicMs());
  }

  @Override
  public LogPosition applied(String group, String target) {
    return states.of(group).status(target).map(TargetStatus::applied).orElse(LogPosition.ORIGIN);
  }

  @Override
  public void unreachable(String group, String target, boolean refused) {
    GroupState state = states.of(group);
    if (refused) {
      state.refused(target, clock.monotonicMs());
    } else {
      state.asked(target, clock.monotonicMs());
    }
  }
}
