package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.proxy.holder.Holders;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.KeyQuery;
import java.util.Objects;
import java.util.Optional;

/** Finds out by its idempotency key whether a write took effect. */
final class KeyResolver {
  private final Holders holders;
  private final GroupWatch watch;
  private final Settler settler;

  /**
   * Creates the resolver.
   *
   * @param holders asks the ledgers
   * @param watch knows the primaries
   * @param settler settles what stays unknown
   */
  KeyResolver(Holders holders, GroupWatch watch, Settler settler) {
    this.holders = Objects.requireNonNull(holders, "holders is null");
    this.watch = Objects.requireNonNull(watch, "watch is null");
    this.settler = Objects.requireNonNull(settler, "settler is null");
  }

  /**
   * Returns what the ledger of the current primary records for a key.
   *
   * @param group the name of the group
   * @param key the key
   * @param cancel true to cancel the key if it has no row
   * @param deadline the deadline
   * @return the record, or why it is not known
   */
  Result<KeyAnswer> ask(String group, String key, boolean cancel, Deadline deadline) {
    GroupView view = watch.view(group);
    if (view.primary().isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, "no primary of the group is known");
    }
    String primary = view.primary().get();
    return holders.outcome(
        new KeyQuery(group, primary, view.term(), key, cancel, deadline.remainingMs()));
  }

  /**
   * Returns the final answer for a key whose write may have run: recorded or cancelled, or still
   * unknown, which is then settled in the background.
   *
   * @param group the name of the group
   * @param key the key
   * @param session the session before the write
   * @param doubt the answer while the outcome is not known
   * @param deadline the deadline
   * @return the answer
   */
  Answer settle(String group, String key, SessionToken session, Fault doubt, Deadline deadline) {
    if (deadline.isOver()) {
      return unsettled(group, key, session, doubt);
    }
    return ask(group, key, true, deadline)
        .fold(
            fault -> unsettled(group, key, session, doubt),
            found ->
                found.state() == KeyAnswer.State.ABSENT
                    ? unsettled(group, key, session, doubt)
                    : answer(group, session, found));
  }

  /**
   * Returns the answer while the outcome of a key is unknown, after having the key settled in the
   * background.
   *
   * @param group the name of the group
   * @param key the key
   * @param session the session before the write
   * @param doubt why the outcome is not known
   * @return the answer
   */
  Answer unsettled(String group, String key, SessionToken session, Fault doubt) {
    settler.offer(group, key);
    return Answer.of(doubt, session);
  }

  /**
   * Returns the answer that a ledger's record stands for.
   *
   * @param group the name of the group
   * @param session the session before
   * @param found what the ledger records
   * @return the answer
   */
  Answer answer(String group, SessionToken session, KeyAnswer found) {
    return switch (found.state()) {
      case RECORDED ->
          Answer.done(
              found.rows(),
              Sessions.afterCommit(session, group, found.position(), true),
              true,
              watch.view(group).primary(),
              Optional.empty());
      case CANCELLED ->
          Answer.of(
              Fault.of(ResultCode.CANCELLED, "the key is cancelled; nothing ran under it"),
              session);
      case ABSENT ->
          Answer.of(
              Fault.of(ResultCode.KEY_NOT_FOUND, "the ledger has no record of the key"), session);
    };
  }
}
