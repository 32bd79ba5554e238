package io.lycheejunction.bench.slopes;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.TargetAnswer;
import io.lycheejunction.common.wire.TargetMessage;
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
import java.util.Optional;

/**
 * Targets that answer at once and never change role, term or position; the primaries are spread
 * over the failure domains.
 */
final class StaticTargets implements TargetPort {
  private static final String CORRELATION_ID = "vm-a-0123456789abcdef-1000";
  private static final LogPosition POSITION = new LogPosition(1, 1_000_000);

  private final MessageCounter messageCounter = new MessageCounter();

  MessageCounter messageCounter() {
    return messageCounter;
  }

  /** A session that refuses all statements. */
  private static final class RefusingSession implements TargetConnection {
    private static final TargetReply REFUSED =
        new TargetReply.NotRun(
            Fault.of(
                ResultCode.TARGET_UNREACHABLE, "the targets of this bench execute no statements"));

    @Override
    public TargetReply execute(TargetRequest request) {
      return REFUSED;
    }

    @Override
    public TargetReply beginTransaction(long term, long timeoutMs) {
      return REFUSED;
    }

    @Override
    public TargetReply commit(Optional<String> key, long timeoutMs) {
      return REFUSED;
    }

    @Override
    public TargetReply rollback(long timeoutMs) {
      return REFUSED;
    }

    @Override
    public boolean isUsable() {
      return true;
    }

    @Override
    public void close() {}
  }

  @Override
  public Result<TargetConnection> openSession(TargetSpec target, long timeoutMs) {
    return Result.success(new RefusingSession());
  }

  @Override
  public Result<TargetStatus> status(TargetSpec target, long timeoutMs) {
    Role role = Node.isPrimary(target) ? Role.PRIMARY : Role.REPLICA;
    TargetStatus status = new TargetStatus(target.name(), 1, role, POSITION, POSITION, false);
    messageCounter.countExchange(
        Json.write(new TargetMessage.Status(CORRELATION_ID)),
        Json.write(TargetAnswer.Status.of(CORRELATION_ID, status)));
    return Result.success(status);
  }

  @Override
  public Result<TargetStatus> awaitReceived(
      TargetSpec target, LogPosition position, long timeoutMs) {
    return status(target, timeoutMs);
  }

  @Override
  public Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs) {
    return refused();
  }

  @Override
  public Result<TargetStatus> promote(
      TargetSpec target, long term, String claimant, long timeoutMs) {
    return refused();
  }

  @Override
  public Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs) {
    return refused();
  }

  @Override
  public Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs) {
    return refused();
  }

  private static <T> Result<T> refused() {
    return Result.failure(
        ResultCode.TARGET_UNREACHABLE, "the targets of this bench answer status queries only");
  }
}
