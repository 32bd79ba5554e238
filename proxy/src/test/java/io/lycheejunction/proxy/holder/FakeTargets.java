package io.lycheejunction.proxy.holder;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** A stub target port: a test sets the replies, and the operations received are recorded. */
final class FakeTargets implements TargetPort {
  final List<String> executed = new ArrayList<>();
  final Map<String, LogPosition> positions = new HashMap<>();
  Function<TargetRequest, TargetReply> executeReply = null;
  TargetReply commitReply = null;
  TargetReply beginReply = new TargetReply.Answered(List.of(), LogPosition.ORIGIN, false);
  Fault openFault = null;
  Result<KeyOutcome> keyOutcome = Result.failure(ResultCode.TARGET_UNREACHABLE, "refused");
  Result<TargetStatus> status = null;
  int openConnections;
  int openedConnections;
  int closedConnections;
  int statusCalls;

  LogPosition position(String target) {
    return positions.getOrDefault(target, LogPosition.ORIGIN);
  }

  @Override
  public Result<TargetConnection> openSession(TargetSpec target, long timeoutMs) {
    if (openFault != null) {
      return Result.failure(openFault);
    }
    openConnections++;
    openedConnections++;
    return Result.success(new Connection(target.name()));
  }

  @Override
  public Result<TargetStatus> status(TargetSpec target, long timeoutMs) {
    statusCalls++;
    LogPosition position = position(target.name());
    return status != null
        ? status
        : Result.success(
            new TargetStatus(
                target.name(), position.term(), Role.PRIMARY, position, position, false));
  }

  @Override
  public Result<TargetStatus> awaitReceived(
      TargetSpec target, LogPosition position, long timeoutMs) {
    return status(target, timeoutMs);
  }

  @Override
  public Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs) {
    return status(target, timeoutMs);
  }

  @Override
  public Result<TargetStatus> promote(
      TargetSpec target, long term, String claimant, long timeoutMs) {
    return status(target, timeoutMs);
  }

  @Override
  public Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs) {
    executed.add("lookUp " + key);
    return keyOutcome;
  }

  @Override
  public Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs) {
    executed.add("cancel " + key);
    return keyOutcome;
  }

  private final class Connection implements TargetConnection {
    private final String target;
    private boolean usable = true;
    private boolean isClosed;

    private Connection(String target) {
      this.target = target;
    }

    private TargetReply reply(String operation, TargetReply presetReply) {
      executed.add(operation);
      TargetReply reply =
          presetReply != null
              ? presetReply
              : new TargetReply.Answered(List.of("row of " + operation), position(target), false);
      usable &= !(reply instanceof TargetReply.Unknown);
      return reply;
    }

    @Override
    public TargetReply execute(TargetRequest request) {
      return reply(request.statement(), executeReply == null ? null : executeReply.apply(request));
    }

    @Override
    public TargetReply beginTransaction(long term, long timeoutMs) {
      return reply("begin", beginReply);
    }

    @Override
    public TargetReply commit(Optional<String> key, long timeoutMs) {
      return reply("commit", commitReply);
    }

    @Override
    public TargetReply rollback(long timeoutMs) {
      return reply("rollback", null);
    }

    @Override
    public boolean isUsable() {
      return usable;
    }

    @Override
    public void close() {
      usable = false;
      if (!isClosed) {
        isClosed = true;
        closedConnections++;
        openConnections--;
      }
    }
  }
}
