package io.lycheejunction.proxy.target;

import io.lycheejunction.common.wire.TargetAnswer;
import io.lycheejunction.common.wire.TargetMessage;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/** A session on an instance, identified by the identifier that the instance assigned to it. */
final class HttpTargetConnection implements TargetConnection {
  private static final long CLOSE_TIMEOUT_MS = 1_000;

  private final TargetCalls calls;
  private final TargetSpec target;
  private final String session;
  private volatile boolean usable = true;

  HttpTargetConnection(TargetCalls calls, TargetSpec target, String session) {
    this.calls = calls;
    this.target = target;
    this.session = session;
  }

  @Override
  public TargetReply execute(TargetRequest request) {
    return call(
        new TargetMessage.Execute(
            request.correlationId(),
            session,
            request.term(),
            request.access(),
            request.statement(),
            request.key(),
            request.timeoutMs()),
        request.timeoutMs());
  }

  @Override
  public TargetReply beginTransaction(long term, long timeoutMs) {
    return call(new TargetMessage.Begin(calls.nextId(), session, term), timeoutMs);
  }

  @Override
  public TargetReply commit(Optional<String> key, long timeoutMs) {
    return call(new TargetMessage.Commit(calls.nextId(), session, key), timeoutMs);
  }

  @Override
  public TargetReply rollback(long timeoutMs) {
    return call(new TargetMessage.Rollback(calls.nextId(), session), timeoutMs);
  }

  private TargetReply call(TargetMessage message, long timeoutMs) {
    if (!usable) {
      return new TargetReply.NotRun(Fault.of(ResultCode.NO_CONNECTION, "the session is closed"));
    }
    return calls.call(target, message, timeoutMs).fold(this::toFailedReply, this::toReply);
  }

  private TargetReply toReply(TargetAnswer answer) {
    if (answer instanceof TargetAnswer.Rows rows) {
      return rows.reply();
    }
    usable = false;
    return new TargetReply.Unknown("unexpected kind of answer from " + target.name());
  }

  private TargetReply toFailedReply(Fault fault) {
    if (!fault.isNotRun()) {
      usable = false;
      return new TargetReply.Unknown(fault.detail());
    }
    if (fault.code() == ResultCode.NO_CONNECTION || fault.code() == ResultCode.TARGET_UNREACHABLE) {
      usable = false;
    }
    return new TargetReply.NotRun(fault);
  }

  @Override
  public boolean isUsable() {
    return usable;
  }

  @Override
  public void close() {
    usable = false;
    TargetMessage message = new TargetMessage.Close(calls.nextId(), session);
    Thread.startVirtualThread(() -> calls.call(target, message, CLOSE_TIMEOUT_MS));
  }
}
