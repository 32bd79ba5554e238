package io.lycheejunction.proxy.caller;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.proxy.holder.HolderClient;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiFunction;
import java.util.random.RandomGenerator;

/** Executes callers' requests; the methods block until the answer or the deadline. */
public final class Coordinator {
  private static final EventLog LOG = EventLog.of(Coordinator.class);
  private static final String NO_SERVICE = "-";

  private final ConfigurationSource configuration;
  private final GroupMonitor monitor;
  private final RuntimeClock clock;
  private final CallerLimits limits;
  private final InFlightLimiter limiter;
  private final Settler settler;
  private final FaultCounts faultCounts = new FaultCounts();
  private final CallerMetrics metrics;
  private final KeyResolver keys;
  private final WriteExecutor writes;
  private final ReadExecutor reads;
  private final TransactionExecutor transactions;

  /**
   * Creates a coordinator.
   *
   * @param configuration the configuration in force
   * @param monitor the known state of the groups, such as their primaries and terms
   * @param holderClient runs statements on targets through the proxies that hold their pools
   * @param peers this proxy and the targets that are leaving
   * @param retries the retry budget of this process
   * @param random the source of jitter, safe for concurrent use
   * @param clock the runtime clock
   * @param limits the limits of callers' requests
   * @param metrics records the number and duration of requests
   */
  public Coordinator(
      ConfigurationSource configuration,
      GroupMonitor monitor,
      HolderClient holderClient,
      Peers peers,
      SharedRetryBudget retries,
      RandomGenerator random,
      RuntimeClock clock,
      CallerLimits limits,
      CallerMetrics metrics) {
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.monitor = Objects.requireNonNull(monitor, "monitor is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.limits = Objects.requireNonNull(limits, "limits is null");
    this.metrics = Objects.requireNonNull(metrics, "metrics is null");
    this.limiter = new InFlightLimiter(limits.maxInFlight());
    this.settler = new Settler(holderClient, monitor, clock, limits);
    this.keys = new KeyResolver(holderClient, monitor, settler);
    final ExecutionContext context =
        new ExecutionContext(
            holderClient,
            monitor,
            retries,
            new RetryWait(monitor, clock, random),
            peers.self().name());
    final ReadTargets readTargets = new ReadTargets(peers, clock, random);
    configuration.onChange(readTargets::retain);
    this.writes = new WriteExecutor(context, keys);
    this.reads = new ReadExecutor(context, readTargets);
    this.transactions = new TransactionExecutor(context, keys);
    metrics.registerGauges(limiter, settler);
  }

  /**
   * Returns the answer to a single statement.
   *
   * @param call the statement
   * @return the answer
   */
  public Answer execute(StatementCall call) {
    boolean isRead = call.access() == Access.READ;
    RequestKind kind = isRead ? RequestKind.READ : RequestKind.WRITE;
    Request request = new Request(call.service(), kind, call.session(), call.timeoutMs());
    return handle(
        request,
        isRead ? Optional.empty() : call.key(),
        (route, deadline) ->
            isRead ? read(route, call, deadline) : writes.run(route, call, deadline));
  }

  private Answer read(Route route, StatementCall call, Deadline deadline) {
    Answer answer = reads.run(route, call, deadline);
    if (answer.code() == ResultCode.DONE) {
      boolean isPrimary = answer.target().equals(monitor.view(route.groupName()).primary());
      metrics.recordRead(route.service().name(), isPrimary ? Role.PRIMARY : Role.REPLICA);
    }
    return answer;
  }

  /**
   * Returns the answer to a request that begins a transaction.
   *
   * @param call the request
   * @return the answer, with the transaction's identifier if it was begun
   */
  public Answer begin(BeginCall call) {
    return handle(
        new Request(call.service(), RequestKind.BEGIN, call.session(), call.timeoutMs()),
        Optional.empty(),
        (route, deadline) -> transactions.begin(route, call, deadline));
  }

  /**
   * Returns the answer to a statement in a transaction.
   *
   * @param call the transaction and the session
   * @param access the declared effect, read or write
   * @param statement the text of the statement
   * @return the answer
   */
  public Answer step(TransactionCall call, Access access, String statement) {
    return handle(
        new Request(call.service(), RequestKind.STEP, call.session(), call.timeoutMs()),
        Optional.empty(),
        (route, deadline) -> transactions.statement(route, call, access, statement, deadline));
  }

  /**
   * Returns the answer to a commit.
   *
   * @param call the transaction and the session
   * @param key the idempotency key, if any
   * @return the answer
   */
  public Answer commit(TransactionCall call, Optional<IdempotencyKey> key) {
    return handle(
        new Request(call.service(), RequestKind.COMMIT, call.session(), call.timeoutMs()),
        key,
        (route, deadline) -> transactions.commit(route, call, key, deadline));
  }

  /**
   * Returns the answer to a rollback.
   *
   * @param call the transaction and the session
   * @return the answer
   */
  public Answer rollback(TransactionCall call) {
    return handle(
        new Request(call.service(), RequestKind.ROLLBACK, call.session(), call.timeoutMs()),
        Optional.empty(),
        (route, deadline) -> transactions.rollback(route, call, deadline));
  }

  /**
   * Returns the answer with the outcome that is recorded for an idempotency key.
   *
   * @param service the name of the service
   * @param key the idempotency key
   * @param session the log positions that the session must see
   * @param timeoutMs the time to the deadline, in milliseconds
   * @return the answer
   */
  public Answer outcome(String service, IdempotencyKey key, SessionToken session, long timeoutMs) {
    return handle(
        new Request(service, RequestKind.OUTCOME, session, timeoutMs),
        Optional.of(key),
        (route, deadline) ->
            keys.query(route.groupName(), key.text(), false, deadline)
                .fold(
                    fault -> Answer.of(fault, session),
                    found -> keys.answerFor(route.groupName(), session, found)));
  }

  /**
   * Returns the given fault after counting it as the answer to a request that could not be parsed.
   *
   * @param service the service that the request named
   * @param fault the fault
   * @return the same fault
   */
  Fault recordRefusal(String service, Fault fault) {
    faultCounts.record(serviceLabel(service), fault.code());
    return fault;
  }

  private String serviceLabel(String service) {
    return configuration.current().service(service).isPresent() ? service : NO_SERVICE;
  }

  private record Request(String service, RequestKind kind, SessionToken session, long timeoutMs) {}

  private Answer handle(
      Request request, Optional<IdempotencyKey> key, BiFunction<Route, Deadline, Answer> body) {
    final long startMs = clock.monotonicMs();
    Answer answer =
        switch (limiter.tryAcquire()) {
          case InFlightLimiter.Admission.Refused(Fault fault) ->
              Answer.of(fault, request.session());
          case InFlightLimiter.Admission.Admitted(InFlightLimiter.Permit permit) -> {
            try (permit) {
              yield routeAndRun(request, key, body);
            }
          }
        };
    String service = serviceLabel(request.service());
    faultCounts.record(service, answer.code());
    metrics.record(service, request.kind(), answer.code(), clock.monotonicMs() - startMs);
    return answer;
  }

  private Answer routeAndRun(
      Request request, Optional<IdempotencyKey> key, BiFunction<Route, Deadline, Answer> body) {
    Deadline deadline = Deadline.after(clock, request.timeoutMs());
    Result<Route> route =
        Route.of(configuration.current(), request.service()).flatMap(found -> checkKey(found, key));
    return switch (route) {
      case Result.Failure(Fault fault) -> Answer.of(fault, request.session());
      case Result.Success(Route found) -> runOrFail(request, key, found, deadline, body);
    };
  }

  private Result<Route> checkKey(Route route, Optional<IdempotencyKey> key) {
    return key.isEmpty()
        ? Result.success(route)
        : key.get().checkAge(clock.wallMs(), limits.retention()).map(checked -> route);
  }

  private Answer runOrFail(
      Request request,
      Optional<IdempotencyKey> key,
      Route route,
      Deadline deadline,
      BiFunction<Route, Deadline, Answer> body) {
    try {
      return body.apply(route, deadline);
    } catch (RuntimeException e) {
      LOG.warn("request_failed", "service", request.service(), "cause", e);
      Fault fault =
          Fault.of(
              ResultCode.INTERNAL_UNKNOWN,
              "an internal error occurred while the proxy handled the request");
      key.filter(known -> request.kind() != RequestKind.OUTCOME)
          .ifPresent(known -> settler.offer(route.groupName(), known.text()));
      return Answer.of(fault, request.session());
    }
  }

  /**
   * Returns the counter of requests in flight.
   *
   * @return the counter
   */
  public InFlightLimiter inFlight() {
    return limiter;
  }

  /**
   * Returns the settler, whose {@link Settler#settle} must be called periodically.
   *
   * @return the settler
   */
  public Settler settler() {
    return settler;
  }

  /**
   * Returns the counts of answers other than {@code DONE}.
   *
   * @return the counts
   */
  public FaultCounts faultCounts() {
    return faultCounts;
  }
}
