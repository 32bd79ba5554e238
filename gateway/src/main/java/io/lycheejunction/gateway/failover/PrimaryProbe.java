package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.target.TargetHandle;

/**
 * Probes the primary of a service by beginning a transaction, which only a primary accepts, and
 * rolling it back at once. At most one probe is in flight.
 */
final class PrimaryProbe {
  private static final long PROBE_INTERVAL_MS = 1_000;
  private static final long PROBE_TIMEOUT_MS = 900;
  private static final long SUSPECTED_PROBE_INTERVAL_MS = 100;

  private final FailoverContext failover;
  private final String service;
  private long lastProbeMs = Long.MIN_VALUE / 2;
  private boolean inFlight;

  PrimaryProbe(FailoverContext failover, String service) {
    this.failover = failover;
    this.service = service;
  }

  /** Probes if the primary is suspected, or if its last confirmed position is too old. */
  void probeIfDue(TargetHandle handle) {
    boolean suspected = handle.isSuspected(now());
    long positionAgeMs = failover.positions().of(service).newestAgeMs(now());
    boolean due = suspected || positionAgeMs > PROBE_INTERVAL_MS;
    long intervalMs = suspected ? SUSPECTED_PROBE_INTERVAL_MS : PROBE_INTERVAL_MS;
    if (due && now() - lastProbeMs >= intervalMs) {
      probe(handle);
    }
  }

  /** Probes now, unless a probe is in flight. */
  void probe(TargetHandle handle) {
    if (!inFlight) {
      inFlight = true;
      lastProbeMs = now();
      handle.pool().acquire(new ProbeRequest(handle));
    }
  }

  private long now() {
    return failover.scheduler().nowMs();
  }

  private final class ProbeRequest implements LinkRequest {
    private final TargetHandle handle;
    private final long startedMs = now();

    private ProbeRequest(TargetHandle handle) {
      this.handle = handle;
    }

    @Override
    public SessionState session() {
      return SessionState.empty();
    }

    @Override
    public int priority() {
      return INTERNAL_PRIORITY;
    }

    @Override
    public long deadlineMs() {
      return startedMs + PROBE_TIMEOUT_MS;
    }

    @Override
    public void granted(PooledLink link) {
      long sentMs = now();
      handle.recordRequest(sentMs);
      link.runAndRollBack(
          SessionState.empty(),
          TargetCommand.ofGateway(new CallerStatement.Begin(false)),
          result -> onResult(link, sentMs, result));
      failover.scheduler().schedule(PROBE_TIMEOUT_MS, () -> onTimeout(link));
    }

    @Override
    public void refused(Fault fault) {
      inFlight = false;
    }

    private void onTimeout(PooledLink link) {
      if (inFlight && lastProbeMs == startedMs) {
        link.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "no answer to a probe"));
      }
    }

    private void onResult(PooledLink link, long sentMs, LinkResult result) {
      inFlight = false;
      if (result instanceof LinkResult.Replied(LinkReply reply)) {
        handle.recordAnswer(now());
        link.release();
        reply.fault().ifPresent(fault -> handle.recordFault(fault, now()));
        boolean usable = failover.leases().use().isAllowed(service, handle.target().id(), now());
        if (usable && reply.isDone() && reply.state() == TransactionState.OPEN) {
          reply
              .position()
              .ifPresent(position -> failover.positions().of(service).record(sentMs, position));
        }
      }
    }
  }
}
