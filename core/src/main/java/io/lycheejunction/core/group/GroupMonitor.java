package io.lycheejunction.core.group;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import java.util.OptionalLong;

/**
 * Monitors the groups to whose targets this proxy holds the connections, and tracks the primaries
 * of all other groups.
 *
 * <p>The request path checks here whether it may dispatch a write and whether it may send an
 * answer.
 */
public interface GroupMonitor {

  /**
   * Returns the latest view of the group.
   *
   * @param group the name of the group
   * @return the view, at term 0 if nothing is known about the group
   */
  GroupView view(String group);

  /**
   * Merges a view received from another proxy or with an answer into the latest view of its group.
   *
   * @param view the received view
   */
  void mergeView(GroupView view);

  /**
   * Returns the view once its term is higher than the given one, or the latest view after the
   * timeout.
   *
   * @param group the name of the group
   * @param term the term that the caller already knows
   * @param timeoutMs the time to wait, in milliseconds
   * @return the latest view
   */
  GroupView awaitHigherTerm(String group, long term, long timeoutMs);

  /**
   * Returns the group's view if this proxy may dispatch a write to the primary of the term now.
   *
   * <p>It may if a majority has confirmed the term within the acknowledgement lease; if necessary,
   * this call starts a round that asks the instances.
   *
   * @param group the name of the group
   * @param term the term of the write
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view, or {@code MAJORITY_LOST}, {@code NO_PRIMARY} or {@code NOT_PRIMARY}
   */
  Result<GroupView> confirmTerm(String group, long term, long timeoutMs);

  /**
   * Returns the group's view once a majority has received the position in its term and the
   * acknowledgement lease, counted from the start of the confirming round, has not passed.
   *
   * <p>Concurrent calls share rounds. The caller must send its answer within the lease, which it
   * checks with {@link #mayAcknowledge}.
   *
   * @param group the name of the group
   * @param position the position that the answer depends on
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view, or {@code UNKNOWN_OUTCOME} if no majority confirmed it in time
   */
  Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs);

  /**
   * Returns whether an answer that depends on the term may be sent now.
   *
   * @param group the name of the group
   * @param term the term that the answer depends on
   * @return true within the acknowledgement lease of that term
   */
  boolean mayAcknowledge(String group, long term);

  /**
   * Returns a proven upper bound for the age of data that includes the given position.
   *
   * @param group the name of the group
   * @param applied the last position that a target has applied
   * @return the bound in milliseconds, or empty if none is proven
   */
  OptionalLong maxDataAgeMs(String group, LogPosition applied);

  /**
   * Returns the last known applied position of a target.
   *
   * @param group the name of the group
   * @param target the name of the target
   * @return the position, {@code ORIGIN} if none is known
   */
  LogPosition lastAppliedPosition(String group, String target);

  /**
   * Records that a target refused a connection or did not answer a statement, as input for failure
   * detection.
   *
   * @param group the name of the group
   * @param target the name of the target
   * @param refused true if the connection was refused
   */
  void reportUnreachable(String group, String target, boolean refused);
}
