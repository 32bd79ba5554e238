package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.BeginRequest;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.HolderClient;
import io.lycheejunction.proxy.holder.HolderStatement;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.KeyQuery;
import io.lycheejunction.proxy.holder.TransactionId;
import io.lycheejunction.proxy.holder.TransactionStep;

/**
 * Lowers the term of a statement's required position to the known term, so that positions compare
 * by their offsets alone. Omits the term-first comparison of session tokens.
 */
record OffsetOnlyHolders(HolderClient holderClient, GroupMonitor monitor) implements HolderClient {
  @Override
  public Result<HolderAnswer> execute(HolderStatement heldStatement) {
    LogPosition floor = heldStatement.floor();
    long term = Math.min(floor.term(), monitor.view(heldStatement.group()).term());
    return holderClient.execute(
        new HolderStatement(
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
  public Result<TransactionId> beginTransaction(BeginRequest request) {
    return holderClient.beginTransaction(request);
  }

  @Override
  public Result<HolderAnswer> executeStep(TransactionStep step) {
    return holderClient.executeStep(step);
  }

  @Override
  public Result<KeyAnswer> lookUpKey(KeyQuery query) {
    return holderClient.lookUpKey(query);
  }

  @Override
  public Result<LogPosition> latestAcknowledgedPosition(String group, long remainingMs) {
    return holderClient.latestAcknowledgedPosition(group, remainingMs);
  }
}
