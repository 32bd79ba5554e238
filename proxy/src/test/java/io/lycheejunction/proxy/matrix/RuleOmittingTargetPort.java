package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Passes calls on to another port without the safety rule that the fleet omits, if any. */
final class RuleOmittingTargetPort implements TargetPort {
  private final TargetPort delegate;
  private final Fleet fleet;
  private final SafetyRule omittedRule;
  private final Map<String, TargetConnection> sharedConnections = new HashMap<>();

  RuleOmittingTargetPort(TargetPort delegate, Fleet fleet) {
    this.delegate = delegate;
    this.fleet = fleet;
    this.omittedRule = fleet.omittedRule;
  }

  @Override
  public Result<TargetConnection> openSession(TargetSpec target, long timeoutMs) {
    if (omittedRule != SafetyRule.PINNED_CONNECTION) {
      return delegate.openSession(target, timeoutMs).map(RuleOmittingConnection::new);
    }
    TargetConnection existing = sharedConnections.get(target.name());
    if (existing != null && existing.isUsable()) {
      return Result.success(new RuleOmittingConnection(existing));
    }
    return delegate
        .openSession(target, timeoutMs)
        .map(
            opened -> {
              sharedConnections.put(target.name(), opened);
              return new RuleOmittingConnection(opened);
            });
  }

  @Override
  public Result<TargetStatus> status(TargetSpec target, long timeoutMs) {
    return delegate.status(target, timeoutMs);
  }

  @Override
  public Result<TargetStatus> awaitReceived(
      TargetSpec target, LogPosition position, long timeoutMs) {
    return delegate.awaitReceived(target, position, timeoutMs);
  }

  @Override
  public Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs) {
    fleet.recordClaim();
    if (omittedRule != SafetyRule.TERM_FENCE) {
      return delegate.fence(target, term, claimant, timeoutMs);
    }
    return delegate
        .status(target, timeoutMs)
        .map(
            status ->
                new TargetStatus(
                    status.target(),
                    term,
                    Role.REPLICA,
                    status.received(),
                    status.applied(),
                    false));
  }

  @Override
  public Result<TargetStatus> promote(
      TargetSpec target, long term, String claimant, long timeoutMs) {
    if (omittedRule == SafetyRule.TERM_FENCE) {
      delegate.fence(target, term, claimant, timeoutMs);
    }
    return delegate.promote(target, term, claimant, timeoutMs);
  }

  @Override
  public Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs) {
    return delegate.lookUp(target, term, key, timeoutMs);
  }

  @Override
  public Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs) {
    if (omittedRule != SafetyRule.CANCEL_ROW) {
      return delegate.cancel(target, term, key, timeoutMs);
    }
    return delegate
        .lookUp(target, term, key, timeoutMs)
        .map(
            found ->
                found instanceof KeyOutcome.Absent(LogPosition position)
                    ? new KeyOutcome.Cancelled(position)
                    : found);
  }

  private final class RuleOmittingConnection implements TargetConnection {
    private final TargetConnection connection;

    RuleOmittingConnection(TargetConnection connection) {
      this.connection = connection;
    }

    @Override
    public TargetReply execute(TargetRequest request) {
      return connection.execute(withoutKey(request));
    }

    private TargetRequest withoutKey(TargetRequest request) {
      return omittedRule != SafetyRule.TRANSACTION_KEY
          ? request
          : new TargetRequest(
              request.correlationId(),
              request.term(),
              request.access(),
              request.statement(),
              Optional.empty(),
              request.timeoutMs());
    }

    @Override
    public TargetReply beginTransaction(long term, long timeoutMs) {
      return connection.beginTransaction(term, timeoutMs);
    }

    @Override
    public TargetReply commit(Optional<String> key, long timeoutMs) {
      boolean dropsKey = omittedRule == SafetyRule.TRANSACTION_KEY;
      return connection.commit(dropsKey ? Optional.empty() : key, timeoutMs);
    }

    @Override
    public TargetReply rollback(long timeoutMs) {
      return connection.rollback(timeoutMs);
    }

    @Override
    public boolean isUsable() {
      return connection.isUsable();
    }

    @Override
    public void close() {
      if (omittedRule != SafetyRule.PINNED_CONNECTION) {
        connection.close();
      }
    }
  }
}
