package io.lycheejunction.ctl;

import io.lycheejunction.common.http.HttpReply;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.operator.OperatorRequest;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** Tries one proxy after another as long as a retry cannot run a statement twice. */
final class OperatorClient {
  private static final Set<String> RETRYABLE_ON_OTHER_PROXY =
      Set.of(ResultCode.SHUTTING_DOWN.name(), ResultCode.STORE_UNAVAILABLE.name());

  private final ProxyTransport transport;
  private final List<String> addresses;

  OperatorClient(ProxyTransport transport, List<String> addresses) {
    this.transport = Objects.requireNonNull(transport, "transport is null");
    this.addresses = List.copyOf(addresses);
  }

  /**
   * Returns the first conclusive answer to a statement.
   *
   * @param request the request
   * @param idempotent true if sending the request twice has the same effect as sending it once
   * @return the answer; its outcome is unknown if an attempt may have taken effect and no later
   *     attempt was conclusive
   */
  OperatorReply send(OperatorRequest request, boolean idempotent) {
    Optional<OperatorReply> unknownOutcome = Optional.empty();
    OperatorReply last = failed(request, ResultCode.PEER_UNREACHABLE, "no proxy address is given");
    for (String address : addresses) {
      last = sendTo(address, request);
      if (last.outcome() == Outcome.OUTCOME_UNKNOWN) {
        unknownOutcome = Optional.of(last);
        if (!idempotent) {
          return last;
        }
      } else if (isConclusive(last)) {
        return last;
      }
    }
    return unknownOutcome.orElse(last);
  }

  /**
   * Returns false for faults of one proxy only: they do not tell whether an earlier attempt took
   * effect, and another proxy may accept the request.
   */
  private static boolean isConclusive(OperatorReply reply) {
    return !RETRYABLE_ON_OTHER_PROXY.contains(reply.name())
        && !reply.name().equals(ResultCode.PEER_UNREACHABLE.name());
  }

  private OperatorReply sendTo(String address, OperatorRequest request) {
    return switch (transport.send(address, Json.write(request))) {
      case HttpReply.Answer(int status, String body) ->
          Json.read(body, OperatorReply.class)
              .fold(
                  fault ->
                      failed(
                          request,
                          ResultCode.UNKNOWN_OUTCOME,
                          address + " sent an unreadable answer with HTTP status " + status),
                  reply -> reply);
      case HttpReply.NotSent(boolean refused, String detail) ->
          failed(request, ResultCode.PEER_UNREACHABLE, address + ": " + detail);
      case HttpReply.Lost(String detail) ->
          failed(request, ResultCode.UNKNOWN_OUTCOME, address + ": " + detail);
    };
  }

  private static OperatorReply failed(OperatorRequest request, ResultCode code, String detail) {
    return OperatorReply.failed(Fault.of(code, detail), request.changeId());
  }
}
