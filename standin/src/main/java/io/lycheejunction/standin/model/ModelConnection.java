package io.lycheejunction.standin.model;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;

/** The client side of a session on an instance of a {@link GroupModel}. */
final class ModelConnection implements TargetConnection {
  private final ModelTargetPort port;
  private final TargetSpec target;
  private final ModelSession session;
  private volatile boolean usable = true;

  ModelConnection(ModelTargetPort port, TargetSpec target, ModelSession session) {
    this.port = port;
    this.target = target;
    this.session = session;
  }

  private TargetReply call(String operation, long timeoutMs, Transport.Effect<TargetReply> effect) {
    Transport.Fallback<TargetReply> fallback =
        new Transport.Fallback<>(
            new TargetReply.NotRun(
                Fault.of(ResultCode.TARGET_UNREACHABLE, "refused by " + target.name())),
            new TargetReply.Unknown("no answer from " + target.name()));
    if (!usable) {
      return new TargetReply.NotRun(Fault.of(ResultCode.NO_CONNECTION, "the session is closed"));
    }
    TargetReply reply = port.send(target, operation, timeoutMs, effect, fallback);
    usable = usable && leavesConnectionUsable(reply);
    return reply;
  }

  private static boolean leavesConnectionUsable(TargetReply reply) {
    return switch (reply) {
      case TargetReply.Answered answered -> true;
      case TargetReply.Unknown unknown -> false;
      case TargetReply.NotRun(Fault fault) ->
          fault.code() != ResultCode.NO_CONNECTION && fault.code() != ResultCode.TARGET_UNREACHABLE;
    };
  }

  @Override
  public TargetReply execute(TargetRequest request) {
    return call("execute", request.timeoutMs(), () -> session.execute(request));
  }

  @Override
  public TargetReply beginTransaction(long term, long timeoutMs) {
    return call("begin", timeoutMs, () -> session.begin(term));
  }

  @Override
  public TargetReply commit(Optional<String> key, long timeoutMs) {
    return call("commit", timeoutMs, () -> session.commit(key));
  }

  @Override
  public TargetReply rollback(long timeoutMs) {
    return call("rollback", timeoutMs, session::rollback);
  }

  @Override
  public boolean isUsable() {
    return usable;
  }

  @Override
  public void close() {
    usable = false;
    session.close();
  }
}
