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

/** A port of targets that leaves one safety rule out. */
final class WeakPort implements TargetPort {
  private final TargetPort port;
  private final Fleet fleet;
  private final SafetyRule off;
  private final Map<String, TargetConnection> shared = new HashMap<>();

  WeakPort(TargetPort port, Fleet fleet) {
    this.port = port;
    this.fleet = fleet;
    this.off = fleet.rules;
  }

  @Override
  public Result<TargetConnection> open(TargetSpec target, long timeoutMs) {
    if (off != SafetyRule.PINNED_CONNECTION) {
      return port.open(target, timeoutMs).map(WeakConnection::new);
    }
    TargetConnection used = shared.get(target.name());
    if (used != null && used.isUsable()) {
      return Result.success(new WeakConnection(used));
    }
    return port.open(target, timeoutMs)
        .map(
            opened -> {
              shared.put(target.name(), opened);
              return new WeakConnection(opened);
            });
  }

  @Override
  public Result<TargetStatus> status(TargetSpec target, long timeoutMs) {
    return port.status(target, timeoutMs);
  }

  @Override
  public Result<TargetStatus> awaitReceived(
      TargetSpec target, LogPosition position, long timeoutMs) {
    return port.awaitReceived(target, position, timeoutMs);
  }

  @Override
  public Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs) {
    fleet.claimed();
    if (off != SafetyRule.TERM_FENCE) {
      return port.fence(target, term, claimant, timeoutMs);
    }
    return port.status(target, timeoutMs)
        .map(
            s ->
                new TargetStatus(s.target(), term, Role.REPLICA, s.received(), s.applied(), false));
  }

  @Override
  public Result<TargetStatus> promote(
      TargetSpec target, long term, String claimant, long timeoutMs) {
    if (off == SafetyRule.TERM_FENCE) {
      port.fence(target, term, claimant, timeoutMs);
    }
    return port.promote(target, term, claimant, timeoutMs);
  }

  @Override
  public Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs) {
    return port.lookUp(target, term, key, timeoutMs);
  }

  @Override
  public Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs) {
    if (off != SafetyRule.CANCEL_ROW) {
      return port.cancel(target, term, key, timeoutMs);
    }
    return port.lookUp(target, term, key, timeoutMs)
        .map(
            found ->
                found instanceof KeyOutcome.Absent(LogPosition position)
                    ? new KeyOutcome.Cancelled(position)
                    : found);
  }

  private final class WeakConnection implements TargetConnection {
    private final TargetConnection connection;

    WeakConnection(TargetConnection connection) {
      this.connection = connection;
    }

    @Override
    public TargetReply execute(TargetRequest request) {
      return connection.execute(withoutKey(request));
    }

    private TargetRequest withoutKey(TargetRequest request) {
      return off != SafetyRule.TRANSACTION_KEY
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
    public TargetReply begin(long term, long timeoutMs) {
      return connection.begin(term, timeoutMs);
    }

    @Override
    public TargetReply commit(Optional<String> key, long timeoutMs) {
      boolean drops = off == SafetyRule.TRANSACTION_KEY;
      return connection.commit(drops ? Optional.empty() : key, timeoutMs);
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
      if (off != SafetyRule.PINNED_CONNECTION) {
        connection.close();
      }
    }
  }
}
