package io.lycheejunction.proxy.target;

import io.lycheejunction.common.http.BlockingHttpClient;
import io.lycheejunction.common.wire.TargetAnswer;
import io.lycheejunction.common.wire.TargetMessage;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.KeyOutcome;
import io.lycheejunction.core.port.TargetConnection;
import io.lycheejunction.core.port.TargetPort;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;

/** Sends requests to instances as JSON over HTTP. */
public final class HttpTargetPort implements TargetPort {
  /** Time for the answer to arrive after the instance itself has waited for the whole timeout. */
  private static final long AWAIT_MARGIN_MS = 100;

  private final TargetCalls calls;

  /**
   * Creates a port.
   *
   * @param http the HTTP client, bound to a local address of the proxy's failure domain
   */
  public HttpTargetPort(BlockingHttpClient http) {
    this.calls = new TargetCalls(http);
  }

  @Override
  public Result<TargetConnection> openSession(TargetSpec target, long timeoutMs) {
    return calls
        .call(target, new TargetMessage.Open(calls.nextId()), timeoutMs)
        .flatMap(
            answer ->
                answer instanceof TargetAnswer.Opened opened
                    ? Result.success(new HttpTargetConnection(calls, target, opened.session()))
                    : unexpected(target));
  }

  @Override
  public Result<TargetStatus> status(TargetSpec target, long timeoutMs) {
    return status(target, new TargetMessage.Status(calls.nextId()), timeoutMs);
  }

  private Result<TargetStatus> status(TargetSpec target, TargetMessage message, long timeoutMs) {
    return calls
        .call(target, message, timeoutMs)
        .flatMap(
            answer ->
                answer instanceof TargetAnswer.Status status
                    ? Result.success(status.status())
                    : unexpected(target));
  }

  @Override
  public Result<TargetStatus> awaitReceived(
      TargetSpec target, LogPosition position, long timeoutMs) {
    TargetMessage message = new TargetMessage.AwaitReceived(calls.nextId(), position, timeoutMs);
    return status(target, message, timeoutMs + AWAIT_MARGIN_MS);
  }

  @Override
  public Result<TargetStatus> fence(TargetSpec target, long term, String claimant, long timeoutMs) {
    return status(target, new TargetMessage.Fence(calls.nextId(), term, claimant), timeoutMs);
  }

  @Override
  public Result<TargetStatus> promote(
      TargetSpec target, long term, String claimant, long timeoutMs) {
    return status(target, new TargetMessage.Promote(calls.nextId(), term, claimant), timeoutMs);
  }

  @Override
  public Result<KeyOutcome> lookUp(TargetSpec target, long term, String key, long timeoutMs) {
    return outcome(target, new TargetMessage.LookUp(calls.nextId(), term, key), timeoutMs);
  }

  @Override
  public Result<KeyOutcome> cancel(TargetSpec target, long term, String key, long timeoutMs) {
    return outcome(target, new TargetMessage.Cancel(calls.nextId(), term, key), timeoutMs);
  }

  private Result<KeyOutcome> outcome(TargetSpec target, TargetMessage message, long timeoutMs) {
    return calls
        .call(target, message, timeoutMs)
        .flatMap(
            answer ->
                answer instanceof TargetAnswer.Key key
                    ? Result.success(key.outcome())
                    : unexpected(target));
  }

  private static <T> Result<T> unexpected(TargetSpec target) {
    return Result.failure(
        ResultCode.UNKNOWN_OUTCOME, "unexpected kind of answer from " + target.name());
  }
}
