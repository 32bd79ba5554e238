package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HeldAnswer;
import io.lycheejunction.proxy.holder.HeldStatement;
import io.lycheejunction.proxy.holder.Holders;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.lycheejunction.proxy.holder.KeyQuery;
import io.lycheejunction.proxy.holder.TransactionId;
import io.lycheejunction.proxy.holder.TransactionStart;
import io.lycheejunction.proxy.holder.TransactionStep;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

/** Returns scripted results and records the requests it receives. */
final class FakeHolders implements Holders {
  final List<HeldStatement> statements = new ArrayList<>();
  final List<TransactionStep> steps = new ArrayList<>();
  final List<KeyQuery> queries = new ArrayList<>();
  Function<HeldStatement, Result<HeldAnswer>> onExecute =
      statement -> Result.failure(ResultCode.NOT_HOLDER, "not scripted");
  Function<TransactionStart, Result<TransactionId>> onBegin =
      start -> Result.success(new TransactionId("vm-a:1"));
  Function<TransactionStep, Result<HeldAnswer>> onStep =
      step -> Result.failure(ResultCode.UNKNOWN_TRANSACTION, "not scripted");
  Function<KeyQuery, Result<KeyAnswer>> onOutcome =
      query -> Result.failure(ResultCode.NO_PRIMARY, "not scripted");
  Result<LogPosition> floor = Result.success(new LogPosition(1, 9));

  @Override
  public synchronized Result<HeldAnswer> execute(HeldStatement statement) {
    statements.add(statement);
    return onExecute.apply(statement);
  }

  @Override
  public synchronized Result<TransactionId> begin(TransactionStart start) {
    return onBegin.apply(start);
  }

  @Override
  public synchronized Result<HeldAnswer> step(TransactionStep step) {
    steps.add(step);
    return onStep.apply(step);
  }

  @Override
  public synchronized Result<KeyAnswer> outcome(KeyQuery query) {
    queries.add(query);
    return onOutcome.apply(query);
  }

  @Override
  public Result<LogPosition> floor(String group, long remainingMs) {
    return floor;
  }
}
