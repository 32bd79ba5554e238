package io.lycheejunction.standin.model;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.standin.model.FaultInjector.Call;
import java.util.List;
import java.util.Objects;

/** Client of {@link GroupModel}s in one failure domain, with injected faults. */
public final class ModelTargetPort implements TargetPort {
  /** Time added to the timeout of {@code awaitReceived} for the reply to arrive. */
  private static final long AWAIT_REPLY_MARGIN_MS = 20;

  private final Transport transport;
  private final List<GroupModel> groups;
  private final Links links;

  /**
   * Creates the client of one failure domain.
   *
   * @param source the failure domain that calls come from, or {@link Links#CLIENT}
   * @param groups the groups whose instances can be called
   * @param links the links between failure domains
   * @param faults selects the faults of calls
   * @param clock the runtime clock
   */
  public ModelTargetPort(
      String source,
      List<GroupModel> groups,
      Links links,
      FaultInjector faults,
      RuntimeClock clock) {
    this.transport = new Transport(source, faults, clock);
    this.groups = List.copyOf(groups);
    this.links = Objects.requireNonNull(links, "links is null");
  }

  private <T> Result<T> call(
      TargetSpec target,
      String operation,
      long timeoutMs,
      Transport.Effect<Result<T>> effect,
      ResultCode lostCode) {
    Transport.Fallback<Result<T>> fallback =
        new Transport.Fallback<>(
            Result.failure(ResultCode.TARGET_UNREACHABLE, "refused by " + target.name()),
            Result.failure(lostCode, "no answer from " + target.name()));
    return send(target, operation, timeoutMs, effect, fallback);
  }

  <T> T send(
      TargetSpec target,
      String operation,
      long timeoutMs,
      Transport.Effect<T> effect,
      Transport.Fallback<T> fallback) {
    Call call = new Call(transport.source(), target.name(), operation);
    return transport.call(call, new GroupRoute(target), timeoutMs, effect, fallback);
  }

  private GroupModel group(TargetSpec target) {
    return groups.stream()
        .filter(group -> group.containsTarget(target.name()))
        .findFirst()
        .orElseThrow(() -> new IllegalArgumentException("unknown target " + target.name()));
  }

  @Override
  public Result<TargetConnection> openSession(TargetSpec target, long timeoutMs) {
    return call(
        target,
        "open",
        timeoutMs,
        () ->
            group(target)
                .openSession(target.name())
                .map(session -> new ModelConnection(this, target, session)),
        ResultCode.TARGET_UNREACHABLE);
  }

  @Override
  public Result<TargetStatus> status(TargetSpec target, long timeoutMs) {
    return call(
        target,
        "status",
        timeoutMs,
        () -> Result.success(group(target).status(target.name())),
        ResultCode.TARGET_UNREACHABLE);
  }

  @Override
  public Result<TargetStatus> awaitReceived(
      TargetSpec target, LogPosition position, long timeoutMs) {
    return call(
        target,
        "awaitReceived",
        timeoutMs + AWAIT_REPLY_MARGIN_MS,
        () -> Result.success(group(target).awaitReceived(target.name(), position, timeoutMs)),
        ResultCode.TARGET_UNREACHABLE);
  }

  @Override
  public Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs) {
    return call(
        target,
        "fence",
        timeoutMs,
        () -> group(target).fence(target.name(), term, claimant),
        ResultCode.UNKNOWN_OUTCOME);
  }

  @Override
  public Result<TargetStatus> promote(
      TargetSpec target, long term, String claimant, long timeoutMs) {
    return call(
        target,
        "promote",
        timeoutMs,
        () -> group(target).promote(target.name(), term, claimant),
        ResultCode.UNKNOWN_OUTCOME);
  }

  @Override
  public Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs) {
    return call(
        target,
        "lookUp",
        timeoutMs,
        () -> group(target).lookUp(target.name(), term, key),
        ResultCode.TARGET_UNREACHABLE);
  }

  @Override
  public Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs) {
    return call(
        target,
        "cancel",
        timeoutMs,
        () -> group(target).cancel(target.name(), term, key),
        ResultCode.UNKNOWN_OUTCOME);
  }

  private final class GroupRoute implements Transport.Route {
    private final TargetSpec target;
    private final GroupFaults faults;

    GroupRoute(TargetSpec target) {
      this.target = target;
      this.faults = group(target).faults();
    }

    @Override
    public boolean refusesConnections() {
      return faults.isCrashed(target.name());
    }

    @Override
    public boolean isCut() {
      return links.isCut(transport.source(), target.failureDomain());
    }

    @Override
    public boolean isUnresponsive() {
      return faults.isPaused(target.name());
    }

    @Override
    public long delayMs() {
      return links.delayMs(transport.source(), target.failureDomain());
    }

    @Override
    public void submit(Runnable request) {
      faults.submit(target.name(), request);
    }
  }
}
