package io.lycheejunction.core.group;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import java.util.OptionalLong;

/**
 * Watches the groups whose targets this proxy holds, and knows the primaries of all others.
 *
 * <p>The request path asks it whether a write may be dispatched and whether an answer may be given.
 */
public interface GroupWatch {

  /**
   * Returns what is known of the group.
   *
   * @param group the name of the group
   * @return the view, at term 0 if nothing is known
   */
  GroupView view(String group);

  /**
   * Records what another proxy or an answer says of a group.
   *
   * @param view the view to merge
   */
  void learn(GroupView view);

  /**
   * Returns the view once its term is higher than the given one, or the latest view after the
   * timeout.
   *
   * @param group the name of the group
   * @param term the term that the caller knows already
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view
   */
  GroupView awaitHigherTerm(String group, long term, long timeoutMs);

  /**
   * Returns the group's view if this proxy may dispatch a write to the primary of the term now: a
   * majority has confirmed the term within the acknowledgement lease, if need be by a round that
   * this call starts.
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
   * @param position the position of the answer
   * @param timeoutMs the time to wait, in milliseconds
   * @return the view, or {@code UNKNOWN_OUTCOME} if no majority confirmed it in time
   */
  Result<GroupView> confirmReceived(String group, LogPosition position, long timeoutMs);

  /**
   * Returns whether an answer of the term may be sent at this moment.
   *
   * @param group the name of the group
   * @param term the term of the answer
   * @return true within the acknowledgement lease of that term
   */
  boolean mayAcknowledge(String group, long term);

  /**
   * Returns the proven upper bound of the age of data that includes the given position.
   *
   * @param group the name of the group
   * @param applied the position that a target has applied
   * @return the age in milliseconds, or empty if nothing proves one
   */
  OptionalLong ageMs(String group, LogPosition applied);

  /**
   * Returns the last known applied position of a target.
   *
   * @param group the name of the group
   * @param target the name of the target
   * @return the position, {@code ORIGIN} if none is known
   */
  LogPosition applied(String group, String target);

  /**
   * Records evidence of the data path that a target refused a connection or gave no answer.
   *
   * @param group the name of the group
   * @param target the name of the target
   * @param refused true if the connection was refused
   */
  void unreachable(String group, String target, boolean refused);
}
