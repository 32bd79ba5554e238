package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.BeginRequest;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.HolderClient;
import io.lycheejunction.proxy.holder.HolderStatement;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.KeyQuery;
import io.lycheejunction.proxy.holder.TransactionId;
import io.lycheejunction.proxy.holder.TransactionStep;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Returns scripted results and records the requests it receives. */
final class FakeHolderClient implements HolderClient {
  final List<HolderStatement> statements = new ArrayList<>();
  final List<TransactionStep> steps = new ArrayList<>();
  final List<KeyQuery> queries = new ArrayList<>();
  Function<HolderStatement, Result<HolderAnswer>> onExecute =
      statement -> Result.failure(ResultCode.NOT_HOLDER, "not scripted");
  Function<BeginRequest, Result<TransactionId>> onBegin =
      request -> Result.success(new TransactionId("vm-a:1"));
  Function<TransactionStep, Result<HolderAnswer>> onStep =
      step -> Result.failure(ResultCode.UNKNOWN_TRANSACTION, "not scripted");
  Function<KeyQuery, Result<KeyAnswer>> onOutcome =
      query -> Result.failure(ResultCode.NO_PRIMARY, "not scripted");
  Result<LogPosition> floor = Result.success(new LogPosition(1, 9));

  @Override
  public synchronized Result<HolderAnswer> execute(HolderStatement statement) {
    statements.add(statement);
    return onExecute.apply(statement);
  }

  @Override
  public synchronized Result<TransactionId> beginTransaction(BeginRequest request) {
    return onBegin.apply(request);
  }

  @Override
  public synchronized Result<HolderAnswer> executeStep(TransactionStep step) {
    steps.add(step);
    return onStep.apply(step);
  }

  @Override
  public synchronized Result<KeyAnswer> lookUpKey(KeyQuery query) {
    queries.add(query);
    return onOutcome.apply(query);
  }

  @Override
  public Result<LogPosition> latestAcknowledgedPosition(String group, long remainingMs) {
    return floor;
  }
}
