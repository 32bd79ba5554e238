package io.lycheejunction.gateway.holder;

import io.lycheejunction.common.log.EventLog;
import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

/**
 * Detects from the results of forwarded statements that a VM cannot serve its callers.
 *
 * <p>In a failure domain that is cut off, holders refuse statements because they have no primary,
 * or do not answer at all. Callers should use VMs in other failure domains then. Reads that accept
 * old data go on to succeed for some time, so a VM also counts as cut off if statements of most
 * services find no primary and the store does not answer either. Without the second condition all
 * VMs would count as cut off while primaries are replaced.
 */
public final class ForwardingHealth {
  /** How long no statement has succeeded until the VM counts as cut off, in milliseconds. */
  static final long MAX_WITHOUT_SUCCESS_MS = 1_000;

  /** How long failures count, in milliseconds. Callers may try this VM again afterwards. */
  static final long FAILURES_EXPIRE_MS = 4_000;

  /** The minimum interval between two checks of the store, in milliseconds. */
  static final long STORE_CHECK_INTERVAL_MS = 500;

  private static final int MIN_FAILURES = 3;

  private static final Set<ResultCode> STATEMENT_FAULTS =
      Set.of(
          ResultCode.BAD_STATEMENT,
          ResultCode.UNKNOWN_PREPARED,
          ResultCode.STATEMENT_FAILED,
          ResultCode.QUOTA_EXCEEDED);

  private static final Set<ResultCode> UNAVAILABLE_FAULTS =
      Set.of(ResultCode.NO_PRIMARY, ResultCode.NO_CONNECTION, ResultCode.TARGET_UNREACHABLE);

  private static final EventLog LOG = EventLog.of(ForwardingHealth.class);

  /** Checks whether the store answers. */
  public interface StoreCheck {

    /**
     * Calls the store.
     *
     * @param done is called once, with true if the store has answered in time
     */
    void check(Consumer<Boolean> done);
  }

  private final Scheduler scheduler;
  private final IntSupplier serviceCount;
  private final StoreCheck storeCheck;

  /** When a statement of a service last found no primary, in milliseconds, by service. */
  private final Map<String, Long> unavailableMs = new HashMap<>();

  private long lastSuccessMs;
  private long lastFailureMs;
  private int failureCount;
  private boolean checkScheduled;
  private boolean storeUnanswered;

  /**
   * Creates a detector that has recorded no statements.
   *
   * @param scheduler the clock and the timers of the gateway's thread
   * @param serviceCount returns the number of services in the configuration
   * @param storeCheck checks whether the store answers
   */
  public ForwardingHealth(Scheduler scheduler, IntSupplier serviceCount, StoreCheck storeCheck) {
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
    this.serviceCount = Objects.requireNonNull(serviceCount, "serviceCount is null");
    this.storeCheck = Objects.requireNonNull(storeCheck, "storeCheck is null");
    this.lastSuccessMs = scheduler.nowMs();
  }

  /**
   * Records the result of a statement.
   *
   * @param service the service of the statement
   * @param writes whether only the primary can have run it
   * @param fault why it failed, or empty if it succeeded
   */
  public void recordResult(String service, boolean writes, Optional<Fault> fault) {
    if (fault.isEmpty()) {
      recordSuccess(service, writes);
    } else if (!STATEMENT_FAULTS.contains(fault.get().code())) {
      recordFailure(service, fault.get().code());
    }
  }

  private void recordSuccess(String service, boolean writes) {
    lastSuccessMs = scheduler.nowMs();
    failureCount = 0;
    if (writes) {
      unavailableMs.remove(service);
    }
  }

  private void recordFailure(String service, ResultCode code) {
    lastFailureMs = scheduler.nowMs();
    failureCount++;
    if (UNAVAILABLE_FAULTS.contains(code)) {
      unavailableMs.put(service, scheduler.nowMs());
      if (!checkScheduled && areMostServicesUnavailable()) {
        checkScheduled = true;
        checkStore();
      }
    }
  }

  private void checkStore() {
    storeCheck.check(
        answered -> {
          setStoreUnanswered(!answered);
          scheduler.schedule(STORE_CHECK_INTERVAL_MS, this::checkAgain);
        });
  }

  private void checkAgain() {
    if (areMostServicesUnavailable()) {
      checkStore();
    } else {
      checkScheduled = false;
      setStoreUnanswered(false);
    }
  }

  private void setStoreUnanswered(boolean unanswered) {
    if (unanswered != storeUnanswered) {
      storeUnanswered = unanswered;
      LOG.info(
          "forwarding_isolation",
          "isolated",
          unanswered,
          "services_unavailable",
          unavailableServices(),
          "services",
          serviceCount.getAsInt());
    }
  }

  private boolean areMostServicesUnavailable() {
    int unavailable = unavailableServices();
    return unavailable > 0 && 2 * unavailable >= serviceCount.getAsInt();
  }

  private int unavailableServices() {
    long expiredMs = scheduler.nowMs() - FAILURES_EXPIRE_MS;
    unavailableMs.values().removeIf(failedMs -> failedMs <= expiredMs);
    return unavailableMs.size();
  }

  /**
   * Returns whether callers should use other VMs: recent statements have failed and none has
   * succeeded, or both the primaries of most services and the store are out of reach.
   *
   * @return true if this VM is cut off
   */
  public boolean isCutOff() {
    return hasOnlyFailures() || storeUnanswered && areMostServicesUnavailable();
  }

  private boolean hasOnlyFailures() {
    long nowMs = scheduler.nowMs();
    return failureCount >= MIN_FAILURES
        && nowMs - lastSuccessMs >= MAX_WITHOUT_SUCCESS_MS
        && nowMs - lastFailureMs < FAILURES_EXPIRE_MS;
  }
}
