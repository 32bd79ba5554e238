package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.proxy.holder.HolderClient;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.KeyQuery;
import java.util.Objects;
import java.util.Optional;

/** Determines by its idempotency key whether a write took effect. */
final class KeyResolver {
  private final HolderClient holderClient;
  private final GroupMonitor monitor;
  private final Settler settler;

  /**
   * Creates the resolver.
   *
   * @param holderClient queries the ledgers of the targets
   * @param monitor the known primaries and terms of the groups
   * @param settler settles the keys whose outcome stays unknown
   */
  KeyResolver(HolderClient holderClient, GroupMonitor monitor, Settler settler) {
    this.holderClient = Objects.requireNonNull(holderClient, "holderClient is null");
    this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    this.settler = Objects.requireNonNull(settler, "settler is null");
  }

  /**
   * Returns the record of a key in the ledger of the current primary.
   *
   * @param group the name of the group
   * @param key the idempotency key
   * @param cancel true to cancel the key if the ledger has no record of it
   * @param deadline the deadline
   * @return the record, or the fault of the query
   */
  Result<KeyAnswer> query(String group, String key, boolean cancel, Deadline deadline) {
    GroupView view = monitor.view(group);
    if (view.primary().isEmpty()) {
      return Result.failure(ResultCode.NO_PRIMARY, "no primary of the group is known");
    }
    String primary = view.primary().get();
    return holderClient.lookUpKey(
        new KeyQuery(group, primary, view.term(), key, cancel, deadline.remainingMs()));
  }

  /**
   * Returns the final answer for a key whose write may have run: recorded or cancelled, or unknown,
   * in which case the key is settled in the background.
   *
   * @param group the name of the group
   * @param key the idempotency key
   * @param session the session before the write
   * @param unknownOutcome the fault to answer with while the outcome is not known
   * @param deadline the deadline
   * @return the answer
   */
  Answer resolve(
      String group, String key, SessionToken session, Fault unknownOutcome, Deadline deadline) {
    if (deadline.isOver()) {
      return settleLater(group, key, session, unknownOutcome);
    }
    return query(group, key, true, deadline)
        .fold(
            fault -> settleLater(group, key, session, unknownOutcome),
            found ->
                found.state() == KeyAnswer.State.ABSENT
                    ? settleLater(group, key, session, unknownOutcome)
                    : answerFor(group, session, found));
  }

  /**
   * Returns the answer for an unknown outcome after queueing the key to be settled in the
   * background.
   *
   * @param group the name of the group
   * @param key the idempotency key
   * @param session the session before the write
   * @param unknownOutcome why the outcome is not known
   * @return the answer
   */
  Answer settleLater(String group, String key, SessionToken session, Fault unknownOutcome) {
    settler.offer(group, key);
    return Answer.of(unknownOutcome, session);
  }

  /**
   * Returns the answer that corresponds to a ledger's record.
   *
   * @param group the name of the group
   * @param session the session before the write
   * @param found the record
   * @return the answer
   */
  Answer answerFor(String group, SessionToken session, KeyAnswer found) {
    return switch (found.state()) {
      case RECORDED ->
          Answer.done(
              found.rows(),
              Sessions.afterCommit(session, group, found.position(), true),
              true,
              monitor.view(group).primary(),
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
