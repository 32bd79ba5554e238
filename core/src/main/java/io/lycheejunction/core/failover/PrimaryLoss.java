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

/** Decides whether one watcher sees a group without a working primary. */
public final class PrimaryLoss {

  /** What one watcher sees. */
  public enum Sight {
    /** A primary of the highest known term answers, or may still answer. */
    PRESENT,
    /** The primary of the highest known term is gone. */
    GONE,
    /** The highest known term has no primary: nobody promoted one, or it lost its role. */
    VACANT
  }

  private PrimaryLoss() {}

  /**
   * Returns what the watcher sees.
   *
   * @param spec the group
   * @param view the view of the group
   * @param statuses the last answer of each instance that has answered
   * @param suspicions gives the suspicion of an instance by its name
   * @param nowMs the monotonic time, in milliseconds
   * @return the sight
   */
  public static Sight of(
      GroupSpec spec,
      GroupView view,
      Map<String, TargetStatus> statuses,
      Function<String, Suspicion> suspicions,
      long nowMs) {
    Objects.requireNonNull(view, "view is null");
    long highest =
        statuses.values().stream().mapToLong(TargetStatus::term).max().orElse(view.term());
    Optional<String> primary =
        highest > view.term() ? Optional.empty() : view.primary().filter(p -> isMember(spec, p));
    if (primary.isPresent()) {
      return ofKnown(primary.get(), view.term(), statuses, suspicions, nowMs);
    }
    return ofUnknown(spec, statuses, suspicions, nowMs);
  }

  private static boolean isMember(GroupSpec spec, String target) {
    return spec.target(target).isPresent();
  }

  private static Sight ofKnown(
      String primary,
      long term,
      Map<String, TargetStatus> statuses,
      Function<String, Suspicion> suspicions,
      long nowMs) {
    if (suspicions.apply(primary).isGone(nowMs)) {
      return Sight.GONE;
    }
    TargetStatus status = statuses.get(primary);
    boolean resigned = status != null && status.term() == term && status.role() != Role.PRIMARY;
    return resigned ? Sight.VACANT : Sight.PRESENT;
  }

  private static Sight ofUnknown(
      GroupSpec spec,
      Map<String, TargetStatus> statuses,
      Function<String, Suspicion> suspicions,
      long nowMs) {
    int answering = 0;
    for (TargetSpec target : spec.targets()) {
      boolean gone = suspicions.apply(target.name()).isGone(nowMs);
      boolean answered = statuses.containsKey(target.name());
      if (!gone && !answered) {
        return Sight.PRESENT;
      }
      answering += gone ? 0 : 1;
    }
    return answering >= spec.majority() ? Sight.VACANT : Sight.PRESENT;
  }
}
