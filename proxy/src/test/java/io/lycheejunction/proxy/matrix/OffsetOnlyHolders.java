package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.group.GroupWatch;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HeldAnswer;
import io.lycheejunction.proxy.holder.HeldStatement;
import io.lycheejunction.proxy.holder.Holders;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.KeyQuery;
import io.lycheejunction.proxy.holder.TransactionId;
import io.lycheejunction.proxy.holder.TransactionStart;
import io.lycheejunction.proxy.holder.TransactionStep;

/**
 * Lowers the term of a statement's required position to the known term, so that positions compare
 * by their offsets alone. Omits the term-first comparison of session tokens.
 */
record OffsetOnlyHolders(Holders holders, GroupWatch watch) implements Holders {
  @Override
  public Result<HeldAnswer> execute(HeldStatement heldStatement) {
    LogPosition floor = heldStatement.floor();
    long term = Math.min(floor.term(), watch.view(heldStatement.group()).term());
    return holders.execute(
        new HeldStatement(
            heldStatement.service(),
            heldStatement.group(),
            heldStatement.target(),
            heldStatement.term(),
            heldStatement.access(),
            heldStatement.statement(),
            heldStatement.key(),
            new LogPosition(term, floor.offset()),
            heldStatement.maxAgeMs(),
            heldStatement.durability(),
            heldStatement.cutOffReads(),
            heldStatement.weight(),
            heldStatement.entryVm(),
            heldStatement.remainingMs()));
  }

  @Override
  public Result<TransactionId> begin(TransactionStart start) {
    return holders.begin(start);
  }

  @Override
  public Result<HeldAnswer> step(TransactionStep step) {
    return holders.step(step);
  }

  @Override
  public Result<KeyAnswer> outcome(KeyQuery query) {
    return holders.outcome(query);
  }

  @Override
  public Result<LogPosition> floor(String group, long remainingMs) {
    return holders.floor(group, remainingMs);
  }
}
