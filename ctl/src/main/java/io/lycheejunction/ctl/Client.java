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

/** Asks one proxy after the other, as long as that cannot run a statement twice. */
final class Client {
  private static final Set<String> OF_ANOTHER_PROXY =
      Set.of(ResultCode.SHUTTING_DOWN.name(), ResultCode.STORE_UNAVAILABLE.name());

  private final Proxies proxies;
  private final List<String> addresses;

  Client(Proxies proxies, List<String> addresses) {
    this.proxies = Objects.requireNonNull(proxies, "proxies is null");
    this.addresses = List.copyOf(addresses);
  }

  /**
   * Returns the first answer that settles the statement.
   *
   * @param request the request
   * @param repeatable true if sending it twice has the effect of sending it once
   * @return the answer; unknown if one try may have taken effect and no other settled it
   */
  OperatorReply ask(OperatorRequest request, boolean repeatable) {
    Optional<OperatorReply> unknown = Optional.empty();
    OperatorReply last = failed(request, ResultCode.PEER_UNREACHABLE, "no proxy was asked");
    for (String address : addresses) {
      last = askOne(address, request);
      if (last.outcome() == Outcome.OUTCOME_UNKNOWN) {
        unknown = Optional.of(last);
        if (!repeatable) {
          return last;
        }
      } else if (isSettled(last)) {
        return last;
      }
    }
    return unknown.orElse(last);
  }

  /** A proxy without the platform or without a connection says nothing about the other tries. */
  private static boolean isSettled(OperatorReply reply) {
    return !OF_ANOTHER_PROXY.contains(reply.name())
        && !reply.name().equals(ResultCode.PEER_UNREACHABLE.name());
  }

  private OperatorReply askOne(String address, OperatorRequest request) {
    return switch (proxies.send(address, Json.write(request))) {
      case HttpReply.Answer(int status, String body) ->
          Json.read(body, OperatorReply.class)
              .fold(
                  fault ->
                      failed(
                          request,
                          ResultCode.UNKNOWN_OUTCOME,
                          address + " answered with status " + status),
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
