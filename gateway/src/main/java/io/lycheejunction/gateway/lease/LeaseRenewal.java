package io.lycheejunction.gateway.lease;

import io.lycheejunction.gateway.peer.PeerAnswer;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Renews this VM's leases on all primaries by regular requests to the other holders, and by reads
 * of the store while those do not suffice.
 */
public final class LeaseRenewal {
  /** The interval between two requests to a VM, in milliseconds. */
  static final long INTERVAL_MS = 300;

  /** The interval while too few VMs grant a lease, in milliseconds. */
  static final long URGENT_INTERVAL_MS = 60;

  /** How long too few VMs grant a lease before the store is read, in milliseconds. */
  static final long READ_STORE_AFTER_MS = 400;

  /** The interval between two reads of the store, in milliseconds. */
  static final long READ_STORE_INTERVAL_MS = 200;

  /**
   * How long this VM has to be a holder before it relies on the store, in milliseconds. A VM that
   * replaces a primary has either read the holders within that time, and so knows this one, or
   * waits in any case.
   */
  public static final long KNOWN_TO_ALL_AFTER_MS = 10_000;

  private static final long GRANTED = Long.MAX_VALUE;
  private static final long NOT_STARTED = Long.MAX_VALUE;

  /** The primaries that this VM knows, and what it does when it learns more. */
  public interface Primaries {

    /**
     * Returns the primaries that this VM knows.
     *
     * @return the primaries, with the leases that this VM grants itself
     */
    List<KnownPrimary> known();

    /**
     * Returns when the primary that this VM knows has claimed its role.
     *
     * @param service the service
     * @return the store's revision of its registration, lower than any other one if it has not
     *     registered the role; empty if this VM knows no primary
     */
    OptionalLong claimedAtRevision(String service);

    /**
     * Called for each primary that another VM knows.
     *
     * @param reported the primary
     */
    void onReported(KnownPrimary reported);

    /** Called after a lease may have been acquired that was not held before. */
    void onRenewed();
  }

  private final String vm;
  private final LeaseVoters voters;
  private final Scheduler scheduler;
  private final LeaseClient client;
  private final ReplacedPrimaries replaced;
  private final PrimaryLeases leases;
  private final Primaries primaries;
  private final Set<String> inFlight = new HashSet<>();
  private long knownToAllFromMs = NOT_STARTED;
  private long ungrantedSinceMs = GRANTED;
  private long lastStoreReadMs = Long.MIN_VALUE / 2;
  private boolean readingStore;
  private boolean started;
  private Scheduler.Timer nextRenewal;

  /**
   * Creates a renewal that is idle until {@link #start}.
   *
   * @param vm the name of this VM
   * @param voters the VMs that grant leases
   * @param scheduler the clock and the timers
   * @param client sends the requests
   * @param replaced reads the store
   * @param leases the leases to renew
   * @param primaries the primaries that this VM knows
   */
  public LeaseRenewal(
      String vm,
      LeaseVoters voters,
      Scheduler scheduler,
      LeaseClient client,
      ReplacedPrimaries replaced,
      PrimaryLeases leases,
      Primaries primaries) {
    this.vm = Objects.requireNonNull(vm, "vm is null");
    this.voters = Objects.requireNonNull(voters, "voters is null");
    this.scheduler = Objects.requireNonNull(scheduler, "scheduler is null");
    this.client = Objects.requireNonNull(client, "client is null");
    this.replaced = Objects.requireNonNull(replaced, "replaced is null");
    this.leases = Objects.requireNonNull(leases, "leases is null");
    this.primaries = Objects.requireNonNull(primaries, "primaries is null");
  }

  /** Renews the leases now and then at regular intervals, from when this VM is a holder. */
  public void start() {
    knownToAllFromMs = scheduler.nowMs() + KNOWN_TO_ALL_AFTER_MS;
    started = true;
    renewRepeatedly();
  }

  /** Requests the leases now, before the next regular time, since a primary was just found. */
  public void onPrimaryFound() {
    if (started) {
      nextRenewal.cancel();
      renewRepeatedly();
    }
  }

  private void renewRepeatedly() {
    boolean granted = true;
    try {
      if (primaries.known().isEmpty()) {
        knownToAllFromMs = scheduler.nowMs() + KNOWN_TO_ALL_AFTER_MS;
      }
      renew();
      granted = isGrantedByVms();
      if (granted) {
        ungrantedSinceMs = GRANTED;
      } else {
        readStoreIfDue();
      }
    } finally {
      nextRenewal =
          scheduler.schedule(granted ? INTERVAL_MS : URGENT_INTERVAL_MS, this::renewRepeatedly);
    }
  }

  private void readStoreIfDue() {
    long nowMs = scheduler.nowMs();
    ungrantedSinceMs = Math.min(ungrantedSinceMs, nowMs);
    boolean due =
        nowMs >= knownToAllFromMs
            && nowMs - ungrantedSinceMs >= READ_STORE_AFTER_MS
            && nowMs - lastStoreReadMs >= READ_STORE_INTERVAL_MS;
    if (due && !readingStore) {
      readingStore = true;
      lastStoreReadMs = nowMs;
      replaced.read(answer -> onStoreRead(nowMs, answer));
    }
  }

  private void onStoreRead(
      long requestedMs, Optional<Map<String, ReplacedPrimaries.Replacement>> answer) {
    readingStore = false;
    answer.ifPresent(
        lastByService -> {
          confirmNotReplaced(requestedMs, lastByService);
          primaries.onRenewed();
        });
  }

  private void confirmNotReplaced(
      long requestedMs, Map<String, ReplacedPrimaries.Replacement> lastByService) {
    for (KnownPrimary own : primaries.known()) {
      boolean mayBeReplaced =
          Optional.ofNullable(lastByService.get(own.service()))
              .filter(last -> last.mayHaveReplaced(own.primary(), claimedAtRevision(own)))
              .isPresent();
      if (own.granted() && !mayBeReplaced) {
        leases.recordNotReplaced(own.service(), own.primary(), requestedMs);
      }
    }
  }

  private long claimedAtRevision(KnownPrimary own) {
    return primaries.claimedAtRevision(own.service()).orElse(Long.MIN_VALUE);
  }

  /**
   * Renews the leases now, except with VMs whose answers are pending. A VM that watches no primary,
   * as it forwards statements, requests none, since a promotion would wait for its leases.
   */
  public void renew() {
    if (primaries.known().isEmpty()) {
      return;
    }
    grantToSelf();
    for (String peer : voters.voters().groupByVm().keySet()) {
      if (!peer.equals(vm) && inFlight.add(peer)) {
        long requestedMs = scheduler.nowMs();
        client.renew(peer, answer -> onAnswer(peer, requestedMs, answer));
      }
    }
  }

  private void grantToSelf() {
    long nowMs = scheduler.nowMs();
    for (KnownPrimary own : primaries.known()) {
      if (own.granted() && voters.seatAgeMs().isPresent()) {
        leases.recordGrant(vm, own.service(), own.primary(), nowMs);
      } else if (!own.granted()) {
        leases.drop(own.service());
      }
    }
  }

  private void onAnswer(String peer, long requestedMs, PeerAnswer<LeaseReply> answer) {
    inFlight.remove(peer);
    if (answer instanceof PeerAnswer.Replied<LeaseReply> replied) {
      LeaseReply reply = replied.value();
      reply.primaries().forEach(primaries::onReported);
      boolean grantedBefore = isGrantedByVms();
      recordGrants(peer, requestedMs, reply);
      if (!grantedBefore) {
        primaries.onRenewed();
      }
    }
  }

  /** Records the grants on primaries that this VM knows too and has not released. */
  private void recordGrants(String peer, long requestedMs, LeaseReply reply) {
    List<KnownPrimary> known = primaries.known();
    for (KnownPrimary reported : reply.primaries()) {
      boolean wanted = known.stream().anyMatch(own -> isGrantOn(own, reported));
      if (wanted) {
        leases.recordGrant(peer, reported.service(), reported.primary(), requestedMs);
      }
    }
  }

  private static boolean isGrantOn(KnownPrimary own, KnownPrimary reported) {
    return reported.granted()
        && own.granted()
        && own.service().equals(reported.service())
        && own.primary().equals(reported.primary());
  }

  private boolean isGrantedByVms() {
    long nowMs = scheduler.nowMs();
    return primaries.known().stream()
        .filter(KnownPrimary::granted)
        .allMatch(own -> leases.isGrantedByVms(own.service(), own.primary(), nowMs));
  }
}
