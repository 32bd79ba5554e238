package io.lycheejunction.core.failover;

import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

/** Decides whether a group has lost its primary, from the observations of one proxy. */
public final class PrimaryLoss {

  /** The state of a group's primary as one proxy observes it. */
  public enum PrimaryState {
    /** The primary of the highest known term answers, or may still answer. */
    PRESENT,
    /** The primary of the highest known term is gone. */
    GONE,
    /** The highest known term has no primary: none was promoted, or it has stepped down. */
    VACANT
  }

  private PrimaryLoss() {}

  /**
   * Returns the state of the group's primary.
   *
   * @param spec the configuration of the group
   * @param view the highest known term of the group and its primary
   * @param statuses the last status of each instance that has answered, by instance name
   * @param failureDetectors returns the failure-detection state of the instance with the given name
   * @param nowMs the monotonic time, in milliseconds
   * @return the state as this proxy observes it
   */
  public static PrimaryState observe(
      GroupSpec spec,
      GroupView view,
      Map<String, TargetStatus> statuses,
      Function<String, FailureDetector> failureDetectors,
      long nowMs) {
    Objects.requireNonNull(view, "view is null");
    long highestTerm =
        statuses.values().stream().mapToLong(TargetStatus::term).max().orElse(view.term());
    Optional<String> primary =
        highestTerm > view.term()
            ? Optional.empty()
            : view.primary().filter(name -> isMember(spec, name));
    if (primary.isPresent()) {
      return observeKnownPrimary(primary.get(), view.term(), statuses, failureDetectors, nowMs);
    }
    return observeUnknownPrimary(spec, statuses, failureDetectors, nowMs);
  }

  private static boolean isMember(GroupSpec spec, String target) {
    return spec.target(target).isPresent();
  }

  private static PrimaryState observeKnownPrimary(
      String primary,
      long term,
      Map<String, TargetStatus> statuses,
      Function<String, FailureDetector> failureDetectors,
      long nowMs) {
    if (failureDetectors.apply(primary).isGone(nowMs)) {
      return PrimaryState.GONE;
    }
    TargetStatus status = statuses.get(primary);
    boolean steppedDown = status != null && status.term() == term && status.role() != Role.PRIMARY;
    return steppedDown ? PrimaryState.VACANT : PrimaryState.PRESENT;
  }

  private static PrimaryState observeUnknownPrimary(
      GroupSpec spec,
      Map<String, TargetStatus> statuses,
      Function<String, FailureDetector> failureDetectors,
      long nowMs) {
    int reachable = 0;
    for (TargetSpec target : spec.targets()) {
      boolean gone = failureDetectors.apply(target.name()).isGone(nowMs);
      boolean answered = statuses.containsKey(target.name());
      if (!gone && !answered) {
        return PrimaryState.PRESENT;
      }
      reachable += gone ? 0 : 1;
    }
    return reachable >= spec.majority() ? PrimaryState.VACANT : PrimaryState.PRESENT;
  }
}
