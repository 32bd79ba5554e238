package io.lycheejunction.proxy.matrix;

import com.fasterxml.jackson.databind.JsonNode;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.port.PeerTransport;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.standin.model.FaultInjector.Call;
import io.lycheejunction.standin.model.FaultInjector.Injected;
import java.util.Optional;

/** Carries messages of one proxy to others by direct calls, through JSON. */
record Network(Fleet fleet, String domain) implements PeerTransport {
  @Override
  public <T> Result<T> call(
      Vm peer, String path, Object message, Class<T> replyType, long timeoutMs) {
    final long untilMs = fleet.clock.monotonicMs() + timeoutMs;
    Call call = new Call(domain, peer.address(), path);
    Injected before = fleet.steps.before(call);
    if (before instanceof Injected.Delay(long delayMs)) {
      return late(peer, path, Json.write(message), delayMs);
    }
    final boolean isHeard = strike(before, untilMs);
    Optional<Node> found = fleet.at(peer.address());
    if (before instanceof Injected.Refuse || found.isEmpty()) {
      return Result.failure(ResultCode.PEER_UNREACHABLE, "nothing at " + peer.address());
    }
    Node node = found.get();
    boolean isLost = before instanceof Injected.LoseRequest || isCut(node);
    if (isLost || !node.isRunning()) {
      if (!isLost && !node.isDead()) {
        node.whenResumed(() -> node.serve(path, Json.write(message)));
      }
      return lost(untilMs);
    }
    fleet.clock.advanceMs(delayMs(node));
    String body = Json.write(message);
    Optional<String> reply = node.serve(path, body);
    if (before instanceof Injected.Duplicate) {
      node.serve(path, body);
    }
    boolean answers = strike(fleet.steps.after(call), untilMs);
    if (!isHeard || !answers || reply.isEmpty() || isCut(node) || !node.isRunning()) {
      return lost(untilMs);
    }
    fleet.clock.advanceMs(delayMs(node));
    fleet.checkRunning();
    return fleet.clock.monotonicMs() > untilMs ? lost(untilMs) : open(reply.get(), replyType);
  }

  /** The connection breaks and the request still arrives, later. */
  private <T> Result<T> late(Vm peer, String path, String body, long delayMs) {
    fleet.clock.afterMs(
        delayMs,
        () -> fleet.at(peer.address()).filter(Node::isRunning).ifPresent(n -> n.serve(path, body)));
    return Result.failure(ResultCode.UNKNOWN_OUTCOME, "the connection broke");
  }

  private boolean isCut(Node node) {
    return fleet.links.isCut(domain, node.domain());
  }

  private long delayMs(Node node) {
    return fleet.links.delayMs(domain, node.domain());
  }

  private boolean strike(Injected injected, long untilMs) {
    return switch (injected) {
      case Injected.Pass pass -> true;
      case Injected.Duplicate duplicate -> true;
      case Injected.Refuse refuse -> false;
      case Injected.LoseRequest lose -> false;
      case Injected.LoseReply lose -> false;
      case Injected.Run(Runnable body) -> {
        body.run();
        yield true;
      }
      case Injected.Delay(long delayMs) -> {
        boolean inTime = fleet.clock.monotonicMs() + delayMs < untilMs;
        fleet.clock.advanceMs(delayMs);
        yield inTime;
      }
    };
  }

  private <T> Result<T> lost(long untilMs) {
    new PortClock(fleet).sleepMs(untilMs - fleet.clock.monotonicMs());
    fleet.checkRunning();
    return Result.failure(ResultCode.UNKNOWN_OUTCOME, "no answer from a peer");
  }

  private static <T> Result<T> open(String text, Class<T> replyType) {
    JsonNode envelope = Json.read(text, JsonNode.class).getOrElse(Json.MAPPER.nullNode());
    return envelope.get("fault").isNull()
        ? Json.read(envelope.get("reply").toString(), replyType)
        : Json.read(envelope.get("fault").toString(), Fault.class).flatMap(Result::failure);
  }
}
