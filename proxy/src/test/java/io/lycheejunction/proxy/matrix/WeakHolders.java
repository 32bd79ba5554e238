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

/** Holders that compare a session's position by its offset alone. */
record WeakHolders(Holders holders, GroupWatch watch) implements Holders {
  @Override
  public Result<HeldAnswer> execute(HeldStatement asked) {
    LogPosition floor = asked.floor();
    long term = Math.min(floor.term(), watch.view(asked.group()).term());
    return holders.execute(
        new HeldStatement(
            asked.service(),
            asked.group(),
            asked.target(),
            asked.term(),
            asked.access(),
            asked.statement(),
            asked.key(),
            new LogPosition(term, floor.offset()),
            asked.maxAgeMs(),
            asked.durability(),
            asked.cutOffReads(),
            asked.weight(),
            asked.entryVm(),
            asked.remainingMs()));
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
