package io.lycheejunction.standin;

import com.sun.net.httpserver.HttpExchange;
import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.TargetAnswer;
import io.lycheejunction.common.wire.TargetMessage;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.TargetReply;
import io.lycheejunction.core.port.TargetRequest;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.standin.model.GroupModel;
import io.lycheejunction.standin.model.ModelSession;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Serves one instance on a port of its own. */
final class InstanceServer {
  private static final long HOLD_MS = 10_000;
  private static final long POLL_MS = 2;

  private final Network network;
  private final GroupModel group;
  private final TargetSpec target;
  private final int slots;
  private final Endpoint endpoint;
  private final ProbeLoss probeLoss;
  private final Map<String, ModelSession> sessions = new ConcurrentHashMap<>();
  private final AtomicLong lastSession = new AtomicLong();
  private volatile Semaphore freeSlots;

  InstanceServer(
      Network network,
      GroupModel group,
      TargetSpec target,
      int slots,
      Endpoint endpoint,
      ProbeLoss probeLoss) {
    this.network = network;
    this.group = group;
    this.target = target;
    this.slots = slots;
    this.endpoint = endpoint;
    this.probeLoss = probeLoss;
    this.freeSlots = new Semaphore(slots, true);
  }

  void start() {
    endpoint.start(this::handle);
  }

  /** Ends the instance: its port refuses connections and its sessions are lost. */
  void crash() {
    group.faults().crash(target.name());
    endpoint.close();
    sessions.clear();
    freeSlots = new Semaphore(slots, true);
  }

  /** Starts the instance again on the same port. */
  void restart() {
    group.faults().restart(target.name());
    endpoint.reopen();
  }

  void close() {
    endpoint.close();
  }

  private Optional<Endpoint.Answer> handle(HttpExchange exchange, String body)
      throws InterruptedException {
    Result<TargetMessage> message = Json.read(body, TargetMessage.class);
    if (message instanceof Result.Failure<TargetMessage> failure) {
      return Optional.of(new Endpoint.Answer(400, Json.write(failure.fault())));
    }
    String source = network.domainOf(exchange.getRemoteAddress());
    long delayMs = network.links().delayMs(source, target.failureDomain());
    if (isCut(source)) {
      return hold();
    }
    network.sleepMs(delayMs);
    awaitRunning();
    if (group.faults().isCrashed(target.name())) {
      return Optional.empty();
    }
    TargetAnswer answer = serve(message.getOrElse(null));
    awaitRunning();
    network.sleepMs(delayMs);
    boolean lost = isProbe(message.getOrElse(null)) && probeLoss.losesNext();
    return lost || isCut(source) ? hold() : Optional.of(Endpoint.Answer.ok(answer));
  }

  private static boolean isProbe(TargetMessage message) {
    return message instanceof TargetMessage.Status
        || message instanceof TargetMessage.AwaitReceived;
  }

  private boolean isCut(String source) {
    return network.links().isCut(source, target.failureDomain());
  }

  private Optional<Endpoint.Answer> hold() throws InterruptedException {
    network.sleepMs(HOLD_MS);
    return Optional.empty();
  }

  private void awaitRunning() throws InterruptedException {
    while (group.faults().isPaused(target.name())) {
      network.sleepMs(POLL_MS);
    }
  }

  private TargetAnswer serve(TargetMessage message) throws InterruptedException {
    String id = message.correlationId();
    String name = target.name();
    return switch (message) {
      case TargetMessage.Open open -> open(id);
      case TargetMessage.Close(String c, String session) -> closeSession(id, session);
      case TargetMessage.Execute execute -> execute(execute);
      case TargetMessage.Begin(String c, String session, long term) ->
          onSession(id, session, s -> s.begin(term));
      case TargetMessage.Commit(String c, String session, Optional<String> key) ->
          onSession(id, session, s -> s.commit(key));
      case TargetMessage.Rollback(String c, String session) ->
          onSession(id, session, ModelSession::rollback);
      case TargetMessage.Status status -> TargetAnswer.Status.of(id, group.status(name));
      case TargetMessage.AwaitReceived await ->
          TargetAnswer.Status.of(
              id, group.awaitReceived(name, await.position(), await.timeoutMs()));
      case TargetMessage.Fence(String c, long term, String claimant) ->
          status(id, group.fence(name, term, claimant));
      case TargetMessage.Promote(String c, long term, String claimant) ->
          status(id, group.promote(name, term, claimant));
      case TargetMessage.LookUp(String c, long term, String key) ->
          group
              .lookUp(name, term, key)
              .fold(f -> failed(id, f), outcome -> TargetAnswer.Key.of(id, outcome));
      case TargetMessage.Cancel(String c, long term, String key) ->
          group
              .cancel(name, term, key)
              .fold(f -> failed(id, f), outcome -> TargetAnswer.Key.of(id, outcome));
    };
  }

  private static TargetAnswer failed(String id, Fault fault) {
    return new TargetAnswer.Failed(id, fault);
  }

  private static TargetAnswer status(String id, Result<TargetStatus> result) {
    return result.fold(f -> failed(id, f), status -> TargetAnswer.Status.of(id, status));
  }

  private TargetAnswer open(String id) throws InterruptedException {
    return group.open(target.name()).fold(f -> failed(id, f), session -> opened(id, session));
  }

  private TargetAnswer opened(String id, ModelSession session) {
    String name = Long.toString(lastSession.incrementAndGet(), Character.MAX_RADIX);
    sessions.put(name, session);
    return new TargetAnswer.Opened(id, name);
  }

  private TargetAnswer closeSession(String id, String name) {
    ModelSession session = sessions.remove(name);
    if (session == null) {
      return noSession(id);
    }
    session.close();
    return answer(id, new TargetReply.Answered(List.of(), position(), false));
  }

  private LogPosition position() {
    return group.status(target.name()).applied();
  }

  private static TargetAnswer noSession(String id) {
    return failed(id, Fault.of(ResultCode.NO_CONNECTION, "no such session"));
  }

  /** Runs one step of a session. */
  private interface Step {
    TargetReply run(ModelSession session) throws InterruptedException;
  }

  private TargetAnswer onSession(String id, String name, Step step) throws InterruptedException {
    ModelSession session = sessions.get(name);
    return session == null ? noSession(id) : answer(id, step.run(session));
  }

  private TargetAnswer execute(TargetMessage.Execute message) throws InterruptedException {
    String id = message.correlationId();
    Semaphore free = freeSlots;
    if (!free.tryAcquire(message.timeoutMs(), TimeUnit.MILLISECONDS)) {
      return failed(id, Fault.of(ResultCode.QUEUE_FULL, "no slot became free"));
    }
    try {
      TargetRequest request =
          new TargetRequest(
              id,
              message.term(),
              message.access(),
              message.statement(),
              message.key(),
              message.timeoutMs());
      return onSession(id, message.session(), session -> session.execute(request));
    } finally {
      free.release();
    }
  }

  private static TargetAnswer answer(String id, TargetReply reply) {
    return switch (reply) {
      case TargetReply.Answered(var rows, var position, boolean replayed) ->
          new TargetAnswer.Rows(id, rows, position, replayed);
      case TargetReply.NotRun(Fault fault) -> failed(id, fault);
      case TargetReply.Unknown(String detail) ->
          failed(id, Fault.of(ResultCode.UNKNOWN_OUTCOME, detail));
    };
  }
}
