package io.lycheejunction.proxy.matrix;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.model.FaultInjector.Call;
import io.lycheejunction.standin.model.FaultInjector.FaultAction;
import java.util.Optional;

/** Delivers the messages of one proxy to its peers as JSON, by direct method calls. */
record DirectPeerTransport(Fleet fleet, String domain) implements PeerTransport {
  @Override
  public <T> Result<T> call(
      Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
    final long deadlineMs = fleet.clock.monotonicMs() + timeoutMs;
    Call call = new Call(domain, peer.address(), path);
    FaultAction before = fleet.injector.before(call);
    if (before instanceof FaultAction.Delay(long delayMs)) {
      return deliverLate(peer, path, Json.write(message), delayMs);
    }
    final boolean isReplyPossible = applyFault(before, deadlineMs);
    Optional<ProxyNode> receiver = fleet.nodeAt(peer.address());
    if (before instanceof FaultAction.Refuse || receiver.isEmpty()) {
      return Result.failure(ResultCode.PEER_UNREACHABLE, "no proxy at " + peer.address());
    }
    ProxyNode node = receiver.get();
    boolean isRequestLost = before instanceof FaultAction.LoseRequest || isCut(node);
    if (isRequestLost || !node.isRunning()) {
      if (!isRequestLost && !node.isDead()) {
        node.deferUntilResumed(() -> node.handleMessage(path, Json.write(message)));
      }
      return awaitTimeout(deadlineMs);
    }
    fleet.clock.advanceMs(delayMs(node));
    String body = Json.write(message);
    Optional<String> reply = node.handleMessage(path, body);
    if (before instanceof FaultAction.Duplicate) {
      node.handleMessage(path, body);
    }
    boolean isReplySent = applyFault(fleet.injector.after(call), deadlineMs);
    if (!isReplyPossible || !isReplySent || reply.isEmpty() || isCut(node) || !node.isRunning()) {
      return awaitTimeout(deadlineMs);
    }
    fleet.clock.advanceMs(delayMs(node));
    fleet.throwIfProxyDead();
    return fleet.clock.monotonicMs() > deadlineMs
        ? awaitTimeout(deadlineMs)
        : readReply(reply.get(), replyType);
  }

  /** Fails the call at once, as after a broken connection, and delivers the request later. */
  private <T> Result<T> deliverLate(Vm peer, String path, String body, long delayMs) {
    fleet.clock.scheduleAfterMs(
        delayMs,
        () ->
            fleet
                .nodeAt(peer.address())
                .filter(ProxyNode::isRunning)
                .ifPresent(node -> node.handleMessage(path, body)));
    return Result.failure(ResultCode.UNKNOWN_OUTCOME, "the connection broke before the reply");
  }

  private boolean isCut(ProxyNode node) {
    return fleet.links.isCut(domain, node.domain());
  }

  private long delayMs(ProxyNode node) {
    return fleet.links.delayMs(domain, node.domain());
  }

  /** Applies the fault; returns whether the reply can still arrive before the deadline. */
  private boolean applyFault(FaultAction injected, long deadlineMs) {
    return switch (injected) {
      case FaultAction.Pass pass -> true;
      case FaultAction.Duplicate duplicate -> true;
      case FaultAction.Refuse refuse -> false;
      case FaultAction.LoseRequest lose -> false;
      case FaultAction.LoseReply lose -> false;
      case FaultAction.Run(Runnable body) -> {
        body.run();
        yield true;
      }
      case FaultAction.Delay(long delayMs) -> {
        boolean isInTime = fleet.clock.monotonicMs() + delayMs < deadlineMs;
        fleet.clock.advanceMs(delayMs);
        yield isInTime;
      }
    };
  }

  private <T> Result<T> awaitTimeout(long deadlineMs) {
    new PortClock(fleet).sleepMs(deadlineMs - fleet.clock.monotonicMs());
    fleet.throwIfProxyDead();
    return Result.failure(ResultCode.UNKNOWN_OUTCOME, "no reply from the peer before the timeout");
  }

  private static <T> Result<T> readReply(String text, Class<T> replyType) {
    JsonNode envelope = Json.read(text, JsonNode.class).getOrElse(Json.MAPPER.nullNode());
    return envelope.get("fault").isNull()
        ? Json.read(envelope.get("reply").toString(), replyType)
        : Json.read(envelope.get("fault").toString(), Fault.class).flatMap(Result::failure);
  }
}
