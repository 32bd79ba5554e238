package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.target.TargetHandle;
import io.lycheejunction.gateway.target.Targets;
import java.util.Optional;
import java.util.Set;

/** Chooses where statements are sent to, and what must hold there. */
public sealed interface Chooser {

  /**
   * Returns the position that a read must see.
   *
   * @param route the route of the read
   * @param sessionCommit the latest commit of its session
   * @param nowMs the present time, in milliseconds
   * @return the position; empty if only a target that has proven to lead can serve it
   */
  Optional<LogPosition> floor(Route route, LogPosition sessionCommit, long nowMs);

  /**
   * Returns where to send a statement.
   *
   * @param route the route of the statement
   * @param floor the position that it must see; empty if it needs the primary
   * @param tried the identifiers of targets not to take
   * @param nowMs the present time, in milliseconds
   * @return the target, or empty if none can be used
   */
  Optional<TargetHandle> choose(
      Route route, Optional<LogPosition> floor, Set<String> tried, long nowMs);

  /**
   * Returns the beginning of a transaction.
   *
   * @param readOnly true if the caller's transaction only reads
   * @param floor the position that it must see; empty if it needs the primary
   * @return the statement
   */
  CallerStatement.Begin begin(boolean readOnly, Optional<LogPosition> floor);

  /**
   * Returns how often a statement that has not run is tried.
   *
   * @return the number of tries
   */
  int maxTries();

  /**
   * Returns whether a statement that has not run is tried again after a refusal.
   *
   * @param fault the refusal
   * @return true if another target may do better
   */
  boolean isTriedAgainAfter(Fault fault);

  /**
   * Returns whether there is any target.
   *
   * @return true if so
   */
  boolean hasTargets();

  /**
   * Returns whether a statement that waits for a connection for too long is tried elsewhere.
   *
   * @return true if another target can serve it as well
   */
  boolean leavesWaiting();

  /**
   * Chooses among the targets of a service.
   *
   * @param targets the targets
   * @param positions the proven positions
   * @param placement chooses targets of reads
   */
  record Direct(Targets targets, Positions positions, Placement placement) implements Chooser {
    private static final int MAX_TRIES = 4;

    @Override
    public Optional<LogPosition> floor(Route route, LogPosition sessionCommit, long nowMs) {
      return positions.floor(route.service(), route.readRule(), sessionCommit, nowMs);
    }

    @Override
    public Optional<TargetHandle> choose(
        Route route, Optional<LogPosition> floor, Set<String> tried, long nowMs) {
      if (floor.isPresent()) {
        return placement.choose(route.service(), floor.get(), tried, nowMs);
      }
      return targets
          .primaryOf(route.service())
          .filter(handle -> !handle.isGone(nowMs))
          .filter(handle -> !tried.contains(handle.target().id()));
    }

    @Override
    public CallerStatement.Begin begin(boolean readOnly, Optional<LogPosition> floor) {
      return new CallerStatement.Begin(floor.isPresent());
    }

    @Override
    public int maxTries() {
      return MAX_TRIES;
    }

    @Override
    public boolean isTriedAgainAfter(Fault fault) {
      return true;
    }

    @Override
    public boolean hasTargets() {
      return !targets.isEmpty();
    }

    @Override
    public boolean leavesWaiting() {
      return false;
    }
  }

  /**
   * Chooses among the VMs that hold connections; they choose the target.
   *
   * @param holders these VMs, as targets of each service
   * @param placement chooses among them
   */
  record Forwarding(Targets holders, Placement placement) implements Chooser {
    private static final int MAX_TRIES = 3;

    @Override
    public Optional<LogPosition> floor(Route route, LogPosition sessionCommit, long nowMs) {
      boolean ownWrites = route.readRule() instanceof ReadRule.OwnWrites;
      return Optional.of(ownWrites ? sessionCommit : LogPosition.ORIGIN);
    }

    @Override
    public Optional<TargetHandle> choose(
        Route route, Optional<LogPosition> floor, Set<String> tried, long nowMs) {
      return placement.choose(route.service(), LogPosition.ORIGIN, tried, nowMs);
    }

    @Override
    public CallerStatement.Begin begin(boolean readOnly, Optional<LogPosition> floor) {
      return new CallerStatement.Begin(readOnly);
    }

    @Override
    public int maxTries() {
      return MAX_TRIES;
    }

    /** A holder has tried all targets; another one may do better only if the holder is at fault. */
    @Override
    public boolean isTriedAgainAfter(Fault fault) {
      return switch (fault.code()) {
        case SHUTTING_DOWN, NO_CONNECTION, TARGET_UNREACHABLE, WRONG_TARGET, NO_PRIMARY -> true;
        default -> false;
      };
    }

    @Override
    public boolean hasTargets() {
      return !holders.isEmpty();
    }

    @Override
    public boolean leavesWaiting() {
      return true;
    }
  }
}
