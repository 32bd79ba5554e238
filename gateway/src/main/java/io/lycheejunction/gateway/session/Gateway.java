package io.lycheejunction.gateway.session;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.dispatch.DispatchContext;
import io.lycheejunction.gateway.link.CallerLink;
import io.lycheejunction.gateway.quota.Quotas;
import io.lycheejunction.gateway.route.RouteTable;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/** The sessions of this VM and the current configuration. */
public final class Gateway {
  private static final EventLog LOG = EventLog.of(Gateway.class);

  /** How long a caller waits for the first configuration; callers time out after two seconds. */
  private static final long CONFIGURATION_WAIT_MS = 1_500;

  private static final int MAX_WAITING_SESSIONS = 2_000;

  private record WaitingSession(CallerSession session, CallerLink link) {}

  private final DispatchContext dispatch;
  private final Quotas quotas;
  private final LoadGuard guard;
  private final Set<WaitingSession> waiting = new LinkedHashSet<>();
  private final Set<CallerSession> sessions = new HashSet<>();
  private final Set<CallerSession> forwarded = new HashSet<>();
  private RouteTable routes = RouteTable.empty();
  private boolean closing;
  private boolean refusingForwarded;
  private boolean refusingCallers;

  /**
   * Creates a gateway without sessions and without quotas.
   *
   * @param dispatch the services that run statements
   */
  public Gateway(DispatchContext dispatch) {
    this(dispatch, Quotas.unlimited(dispatch.scheduler()));
  }

  /**
   * Creates a gateway without sessions.
   *
   * @param dispatch the services that run statements
   * @param quotas limits the operations of organisations
   */
  public Gateway(DispatchContext dispatch, Quotas quotas) {
    this(dispatch, quotas, LoadGuard.off(dispatch.scheduler()));
  }

  /**
   * Creates a gateway without sessions.
   *
   * @param dispatch the services that run statements
   * @param quotas limits the operations of organisations
   * @param guard refuses operations while the event loop is behind
   */
  public Gateway(DispatchContext dispatch, Quotas quotas, LoadGuard guard) {
    this.guard = Objects.requireNonNull(guard, "guard is null");
    this.dispatch = Objects.requireNonNull(dispatch, "dispatch is null");
    this.quotas = Objects.requireNonNull(quotas, "quotas is null");
  }

  /**
   * Opens a session.
   *
   * @param link the caller's connection, which is notified whether the session is accepted
   * @param database the database that the caller connects to
   * @param credential the key that the caller presented
   * @return the session, which may still wait for the configuration, or empty if it was rejected
   */
  public Optional<CallerSession> open(CallerLink link, String database, Credential credential) {
    if (refusingCallers) {
      link.reject(noNewWork());
      return Optional.empty();
    }
    if (!isReady()) {
      return waitForConfiguration(link, database, credential);
    }
    CallerSession session = new CallerSession(this, link, database, credential, Origin.CALLER);
    return accept(session, link) ? Optional.of(session) : Optional.empty();
  }

  /**
   * Opens a session for statements that another VM forwards.
   *
   * @param link the connection of the other VM
   * @param service the service that runs the statements
   * @return the session
   */
  public CallerSession openForwarded(CallerLink link, String service) {
    CallerSession session = new CallerSession(this, link, service, Credential.none(), Origin.VM);
    forwarded.add(session);
    link.accept();
    return session;
  }

  /**
   * Returns whether both a configuration and targets are known.
   *
   * @return true if statements can be served
   */
  public boolean isReady() {
    return !routes.isEmpty() && dispatch.hasTargets();
  }

  /** Accepts waiting sessions if both a configuration and targets are known. */
  public void acceptWaiting() {
    if (!isReady()) {
      return;
    }
    List<WaitingSession> accepted = List.copyOf(waiting);
    waiting.clear();
    accepted.forEach(this::accept);
  }

  private void accept(WaitingSession entry) {
    if (entry.session().isEnded()) {
      return;
    }
    accept(entry.session(), entry.link());
  }

  private boolean accept(CallerSession session, CallerLink link) {
    return switch (session.admission(routes)) {
      case Admission.Admitted admitted -> {
        sessions.add(session);
        link.accept();
        yield true;
      }
      case Admission.Refused refused -> {
        link.reject(refused.fault());
        yield false;
      }
    };
  }

  private Optional<CallerSession> waitForConfiguration(
      CallerLink link, String database, Credential credential) {
    Fault fault =
        new Fault(
            ResultCode.NO_PRIMARY,
            "configuration or targets are not known yet",
            DispatchContext.NO_PRIMARY_RETRY_MS);
    if (waiting.size() >= MAX_WAITING_SESSIONS) {
      link.reject(fault);
      return Optional.empty();
    }
    CallerSession session = new CallerSession(this, link, database, credential, Origin.CALLER);
    WaitingSession entry = new WaitingSession(session, link);
    waiting.add(entry);
    dispatch
        .scheduler()
        .schedule(
            CONFIGURATION_WAIT_MS,
            () -> {
              if (waiting.remove(entry) && !session.isEnded()) {
                link.reject(fault);
              }
            });
    return Optional.of(session);
  }

  /**
   * Applies a configuration unless the current one is newer.
   *
   * @param table the configuration
   * @return true if it was applied
   */
  public boolean apply(RouteTable table) {
    if (!table.replaces(routes)) {
      logIgnored(table);
      return false;
    }
    LOG.info(
        "configuration_applied",
        "version",
        table.version(),
        "before",
        routes.version(),
        "revision",
        table.revision(),
        "revision_before",
        routes.revision(),
        "routes",
        table.routes().size(),
        "organisations",
        table.organisations().names().size());
    routes = table;
    dispatch.statementLog().setConfigurationVersion(table.version());
    quotas.apply(table.organisations());
    endUnauthorizedSessions();
    acceptWaiting();
    return true;
  }

  /** Ends the sessions whose key was withdrawn, so that none of them goes on under it. */
  private void endUnauthorizedSessions() {
    List<CallerSession> unauthorized =
        sessions.stream().filter(session -> !session.isAuthorized(routes)).toList();
    if (!unauthorized.isEmpty()) {
      LOG.info(
          "keys_withdrawn", "version", routes.version(), "sessions_ended", unauthorized.size());
      unauthorized.forEach(CallerSession::endUnauthorized);
    }
  }

  /** Logs that a configuration is not applied, unless it is the current one, read again. */
  private void logIgnored(RouteTable table) {
    if (table.isSameAs(routes)) {
      return;
    }
    LOG.warn(
        "configuration_ignored",
        "version",
        table.version(),
        "current",
        routes.version(),
        "revision",
        table.revision(),
        "revision_current",
        routes.revision());
  }

  /**
   * Returns the current configuration.
   *
   * @return the configuration
   */
  public RouteTable routes() {
    return routes;
  }

  /**
   * Returns the number of open sessions of callers.
   *
   * @return the number, excluding sessions in which other VMs forward statements
   */
  public int sessionCount() {
    return sessions.size();
  }

  /**
   * Returns whether no caller has a session and no forwarded statement or transaction is open.
   *
   * @return true if stopping the process interrupts nothing
   */
  public boolean isDrained() {
    return sessions.isEmpty() && forwarded.stream().allMatch(CallerSession::isIdle);
  }

  /** Closes each caller's session as soon as it is idle. */
  public void drainSessions() {
    closing = true;
    closeIdleSessions();
  }

  /** Refuses new forwarded statements from now on, so that other VMs route them elsewhere. */
  public void refuseForwarded() {
    refusingForwarded = true;
  }

  /**
   * Returns whether single statements and new transactions are accepted. A VM that forwards
   * statements itself accepts none from others, so that no statement is forwarded twice.
   */
  private boolean acceptsWork(Origin origin) {
    return switch (origin) {
      case CALLER -> !refusingCallers;
      case VM -> !refusingForwarded && !dispatch.role().isForwarding();
    };
  }

  /** Closes the callers' sessions that are idle now. */
  public void closeIdleSessions() {
    List.copyOf(sessions).stream().filter(CallerSession::isIdle).forEach(CallerSession::close);
  }

  /**
   * Ends all transactions and accepts no work from now on, so that nothing is cut off at the exit
   * of the process. A running statement is answered before its transaction ends.
   */
  public void endTransactions() {
    refusingForwarded = true;
    refusingCallers = true;
    List.copyOf(sessions).forEach(CallerSession::endTransactionForShutdown);
    List.copyOf(forwarded).forEach(CallerSession::endTransactionForShutdown);
  }

  DispatchContext dispatch() {
    return dispatch;
  }

  Quotas quotas() {
    return quotas;
  }

  /**
   * Decides whether a session may run a single statement or a new transaction now.
   *
   * @param session the session
   * @param origin the peer that has sent it
   * @param forwarded what another VM has sent with it
   * @return the route and the organisation, or why it is refused
   */
  Admission admit(CallerSession session, Origin origin, Optional<ForwardedContext> forwarded) {
    if (!acceptsWork(origin)) {
      return new Admission.Refused(noNewWork());
    }
    Admission admission =
        switch (origin) {
          case CALLER -> session.admission(routes);
          case VM ->
              forwarded
                  .<Admission>map(
                      context -> new Admission.Admitted(context.route(), context.organisation()))
                  .orElseGet(() -> new Admission.Refused(noForwardedRoute()));
        };
    if (admission instanceof Admission.Admitted admitted) {
      return guard
          .refusalOf(admitted.route())
          .<Admission>map(Admission.Refused::new)
          .orElse(admitted);
    }
    return admission;
  }

  long idleTransactionMs() {
    return routes.idleTransactionMs();
  }

  void remove(CallerSession session) {
    sessions.remove(session);
    forwarded.remove(session);
  }

  void onIdle(CallerSession session) {
    if (closing && session.isIdle() && !session.isForwarded()) {
      session.close();
    }
  }

  private static Fault noNewWork() {
    return Fault.of(ResultCode.SHUTTING_DOWN, "this VM takes no new work");
  }

  private static Fault noForwardedRoute() {
    return Fault.of(ResultCode.UNKNOWN_SERVICE, "a forwarded statement came without its route");
  }
}
