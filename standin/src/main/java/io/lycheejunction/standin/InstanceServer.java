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

/** Serves one database instance over HTTP on its own port. */
final class InstanceServer {
  /** Time until the connection is closed after a request or its reply was lost. */
  private static final long NO_REPLY_HOLD_MS = 10_000;

  private static final long POLL_MS = 2;

  private final Network network;
  private final GroupModel group;
  private final TargetSpec target;
  private final int slots;
  private final Endpoint endpoint;
  private final ProbeLoss probeLoss;
  private final Map<String, ModelSession> sessions = new ConcurrentHashMap<>();
  private final AtomicLong lastSessionId = new AtomicLong();
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

  /** Simulates a crash: the port refuses connections and all sessions are lost. */
  void crash() {
    group.faults().crash(target.name());
    endpoint.close();
    sessions.clear();
    freeSlots = new Semaphore(slots, true);
  }

  /** Restarts the crashed instance on the same port. */
  void restart() {
    group.faults().restart(target.name());
    endpoint.reopen();
  }

  void close() {
    endpoint.close();
  }

  private Optional<Endpoint.Response> handle(HttpExchange exchange, String body)
      throws InterruptedException {
    Result<TargetMessage> message = Json.read(body, TargetMessage.class);
    if (message instanceof Result.Failure<TargetMessage> failure) {
      return Optional.of(new Endpoint.Response(400, Json.write(failure.fault())));
    }
    String source = network.domainOf(exchange.getRemoteAddress());
    long delayMs = network.links().delayMs(source, target.failureDomain());
    if (isCut(source)) {
      return holdWithoutReply();
    }
    network.sleepMs(delayMs);
    awaitRunning();
    if (group.faults().isCrashed(target.name())) {
      return Optional.empty();
    }
    TargetAnswer answer = serve(message.getOrElse(null));
    awaitRunning();
    network.sleepMs(delayMs);
    boolean dropped = isProbe(message.getOrElse(null)) && probeLoss.dropsNext();
    return dropped || isCut(source)
        ? holdWithoutReply()
        : Optional.of(Endpoint.Response.ok(answer));
  }

  private static boolean isProbe(TargetMessage message) {
    return message instanceof TargetMessage.Status
        || message instanceof TargetMessage.AwaitReceived;
  }

  private boolean isCut(String source) {
    return network.links().isCut(source, target.failureDomain());
  }

  private Optional<Endpoint.Response> holdWithoutReply() throws InterruptedException {
    network.sleepMs(NO_REPLY_HOLD_MS);
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
      case TargetMessage.Open open -> openSession(id);
      case TargetMessage.Close(String correlationId, String sessionId) ->
          closeSession(id, sessionId);
      case TargetMessage.Execute execute -> execute(execute);
      case TargetMessage.Begin(String correlationId, String sessionId, long term) ->
          callSession(id, sessionId, session -> session.begin(term));
      case TargetMessage.Commit(String correlationId, String sessionId, Optional<String> key) ->
          callSession(id, sessionId, session -> session.commit(key));
      case TargetMessage.Rollback(String correlationId, String sessionId) ->
          callSession(id, sessionId, ModelSession::rollback);
      case TargetMessage.Status status -> TargetAnswer.Status.of(id, group.status(name));
      case TargetMessage.AwaitReceived await ->
          TargetAnswer.Status.of(
              id, group.awaitReceived(name, await.position(), await.timeoutMs()));
      case TargetMessage.Fence(String correlationId, long term, String claimant) ->
          status(id, group.fence(name, term, claimant));
      case TargetMessage.Promote(String correlationId, long term, String claimant) ->
          status(id, group.promote(name, term, claimant));
      case TargetMessage.LookUp(String correlationId, long term, String key) ->
          group
              .lookUp(name, term, key)
              .fold(fault -> failed(id, fault), outcome -> TargetAnswer.Key.of(id, outcome));
      case TargetMessage.Cancel(String correlationId, long term, String key) ->
          group
              .cancel(name, term, key)
              .fold(fault -> failed(id, fault), outcome -> TargetAnswer.Key.of(id, outcome));
    };
  }

  private static TargetAnswer failed(String id, Fault fault) {
    return new TargetAnswer.Failed(id, fault);
  }

  private static TargetAnswer status(String id, Result<TargetStatus> result) {
    return result.fold(fault -> failed(id, fault), status -> TargetAnswer.Status.of(id, status));
  }

  private TargetAnswer openSession(String id) throws InterruptedException {
    return group
        .openSession(target.name())
        .fold(fault -> failed(id, fault), session -> opened(id, session));
  }

  private TargetAnswer opened(String id, ModelSession session) {
    String sessionId = Long.toString(lastSessionId.incrementAndGet(), Character.MAX_RADIX);
    sessions.put(sessionId, session);
    return new TargetAnswer.Opened(id, sessionId);
  }

  private TargetAnswer closeSession(String id, String sessionId) {
    ModelSession session = sessions.remove(sessionId);
    if (session == null) {
      return unknownSession(id);
    }
    session.close();
    return answer(id, new TargetReply.Answered(List.of(), position(), false));
  }

  private LogPosition position() {
    return group.status(target.name()).applied();
  }

  private static TargetAnswer unknownSession(String id) {
    return failed(id, Fault.of(ResultCode.NO_CONNECTION, "unknown session"));
  }

  /** A call on an open session. */
  private interface SessionCall {
    TargetReply run(ModelSession session) throws InterruptedException;
  }

  private TargetAnswer callSession(String id, String sessionId, SessionCall call)
      throws InterruptedException {
    ModelSession session = sessions.get(sessionId);
    return session == null ? unknownSession(id) : answer(id, call.run(session));
  }

  private TargetAnswer execute(TargetMessage.Execute message) throws InterruptedException {
    String id = message.correlationId();
    Semaphore free = freeSlots;
    if (!free.tryAcquire(message.timeoutMs(), TimeUnit.MILLISECONDS)) {
      return failed(
          id, Fault.of(ResultCode.QUEUE_FULL, "no statement slot became free within the timeout"));
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
      return callSession(id, message.session(), session -> session.execute(request));
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
