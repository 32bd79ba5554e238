package io.lycheejunction.gateway.failover;

import io.lycheejunction.common.log.EventLog;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Whether it is this VM's turn to replace the primary of one service.
 *
 * <p>A VM holds back while it has released the primary to another VM, which replaces it. This is
 * bounded: a VM that does not acquire the failover lease within {@link #PROGRESS_MS} may be dead,
 * frozen or cut off from the store. The bound counts from its first request, so that a VM which
 * asks again and again does not keep the others from replacing the primary.
 *
 * <p>Where there are many holders, those that see the votes at the same time start one after the
 * other, in the order of their position, until one of them has asked for the release.
 *
 * <p>The failover lease alone decides who may order a promotion; turns only save messages.
 */
final class ReplacementTurn {
  /**
   * The number of holders up to which all may start at once, so that a replacement does not depend
   * on any one of them.
   */
  static final int FEW_HOLDERS = 6;

  /**
   * How long votes may allow the replacement until the first VM starts, in milliseconds. VMs whose
   * votes are still on their way to each other may differ in the order.
   */
  static final long SETTLING_MS = 30;

  /** The interval between the starts of two VMs, in milliseconds. */
  static final long STEP_MS = 200;

  /**
   * How long another VM may take from its first request to the failover lease, in milliseconds: a
   * round of releases takes up to 600 ms, and its last answer 200 ms.
   */
  static final long PROGRESS_MS = 800;

  /** How long after its first request a VM makes others hold back once more, in milliseconds. */
  static final long RENEWED_AFTER_MS = 5_000;

  private static final EventLog LOG = EventLog.of(ReplacementTurn.class);
  private static final long NOT_FREE = Long.MAX_VALUE;

  private final String service;
  private final Map<String, Long> firstReleaseMs = new HashMap<>();
  private final Set<String> withdrawn = new HashSet<>();
  private long freeSinceMs = NOT_FREE;
  private boolean reportedDue = true;

  /**
   * Creates the turns of a service, whose primary need not be replaced yet.
   *
   * @param service the service
   */
  ReplacementTurn(String service) {
    this.service = Objects.requireNonNull(service, "service is null");
  }

  /**
   * Records that this VM has released the primary to another one.
   *
   * @param requester the name of the other VM
   * @param nowMs the present time, in milliseconds
   */
  void onReleased(String requester, long nowMs) {
    Objects.requireNonNull(requester, "requester is null");
    Long first = firstReleaseMs.get(requester);
    if (first == null || nowMs - first >= RENEWED_AFTER_MS) {
      firstReleaseMs.put(requester, nowMs);
    }
    withdrawn.remove(requester);
  }

  /** Records that another VM does not replace the primary. */
  void onWithdrawn(String requester) {
    withdrawn.add(requester);
  }

  /** Forgets all, since the primary need not be replaced any more. */
  void clear() {
    firstReleaseMs.clear();
    withdrawn.clear();
    freeSinceMs = NOT_FREE;
  }

  /** Records that the votes are not enough for a replacement, so that turns start anew. */
  void onNotGranted() {
    freeSinceMs = NOT_FREE;
  }

  /**
   * Returns whether this VM may start a replacement that the votes allow.
   *
   * @param position the position of this VM among those that may start
   * @param takesTurns false if all VMs may start at once
   * @param leaseHeldByOther true if another process holds the failover lease
   * @param nowMs the present time, in milliseconds
   */
  boolean isDue(int position, boolean takesTurns, boolean leaseHeldByOther, long nowMs) {
    Optional<String> releasedTo = replacingVm(nowMs);
    boolean free = !leaseHeldByOther && releasedTo.isEmpty();
    freeSinceMs = free ? Math.min(freeSinceMs, nowMs) : nowMs;
    boolean ownTurn = free && waitMs(position, nowMs) <= 0;
    boolean due = takesTurns ? ownTurn : !leaseHeldByOther;
    if (due != reportedDue) {
      reportedDue = due;
      LOG.info(
          "replacement_turn",
          "service",
          service,
          "due",
          due,
          "position",
          position,
          "released_to",
          releasedTo.orElse("-"),
          "lease_held",
          leaseHeldByOther);
    }
    return due;
  }

  /**
   * Returns how long this VM waits for its turn, unless it has to hold back.
   *
   * @param position the position of this VM among those that may start
   * @param nowMs the present time, in milliseconds
   */
  long waitMs(int position, long nowMs) {
    return freeSinceMs + SETTLING_MS + position * STEP_MS - nowMs;
  }

  /** Returns a VM that this one has released the primary to, and that may still replace it. */
  private Optional<String> replacingVm(long nowMs) {
    return firstReleaseMs.entrySet().stream()
        .filter(release -> !withdrawn.contains(release.getKey()))
        .filter(release -> nowMs - release.getValue() < PROGRESS_MS)
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns whether a number of holders is so small that turns are not needed. */
  static boolean isFew(int holders) {
    return holders <= FEW_HOLDERS;
  }
}
