package io.lycheejunction.gateway.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.peer.PeerAnswer;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;

class LeaseRenewalTest {
  private static final String SERVICE = "ledger";
  private static final Map<String, String> VMS = Map.of("vm-a", "a", "vm-b", "b", "vm-c", "c");
  private static final long RTT_MS = 10;

  /** The store's revision of the registration of the primary. */
  private static final long CLAIMED_AT = 40;

  private final ManualScheduler scheduler = new ManualScheduler();
  private final PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(VMS));
  private final Map<String, LeaseReply> replies = new HashMap<>();
  private final List<KnownPrimary> reported = new ArrayList<>();
  private Optional<Map<String, ReplacedPrimaries.Replacement>> replaced = Optional.empty();
  private OptionalLong claimedAtRevision = OptionalLong.of(CLAIMED_AT);
  private KnownPrimary own = primary("i-1", true);
  private boolean voter = true;
  private boolean forwards;
  private int requests;
  private int storeReads;

  private static KnownPrimary primary(String id, boolean granted) {
    return new KnownPrimary(SERVICE, id, 1, granted);
  }

  private final class Client implements LeaseClient {
    @Override
    public void renew(String vm, Consumer<PeerAnswer<LeaseReply>> done) {
      requests++;
      LeaseReply reply = replies.get(vm);
      scheduler.schedule(
          RTT_MS,
          () ->
              done.accept(
                  reply == null ? new PeerAnswer.Silent<>() : new PeerAnswer.Replied<>(reply)));
    }

    @Override
    public void release(
        String vm, String service, String primary, Consumer<PeerAnswer<ReleaseReply>> done) {
      throw new UnsupportedOperationException("a renewal does not release");
    }

    @Override
    public void resume(String vm, String service) {
      throw new UnsupportedOperationException("a renewal does not release");
    }
  }

  private final class Voters implements LeaseVoters {
    @Override
    public VoterSet voters() {
      return VoterSet.of(VMS);
    }

    @Override
    public OptionalLong seatAgeMs() {
      return voter ? OptionalLong.of(0) : OptionalLong.empty();
    }

    @Override
    public long ageMs() {
      return 0;
    }

    @Override
    public void refresh() {}
  }

  private final class Primaries implements LeaseRenewal.Primaries {
    @Override
    public List<KnownPrimary> known() {
      return forwards ? List.of() : List.of(own);
    }

    @Override
    public OptionalLong claimedAtRevision(String service) {
      return claimedAtRevision;
    }

    @Override
    public void onReported(KnownPrimary primary) {
      reported.add(primary);
    }

    @Override
    public void onRenewed() {}
  }

  private final LeaseRenewal renewal =
      new LeaseRenewal(
          "vm-b", new Voters(), scheduler, new Client(), this::readStore, leases, new Primaries());

  private void start() {
    renewal.start();
  }

  private void readStore(Consumer<Optional<Map<String, ReplacedPrimaries.Replacement>>> done) {
    storeReads++;
    done.accept(replaced);
  }

  private static Optional<Map<String, ReplacedPrimaries.Replacement>> replacementOf(
      String primary, long revision) {
    return Optional.of(Map.of(SERVICE, new ReplacedPrimaries.Replacement(primary, revision)));
  }

  private boolean isHeld() {
    return leases.isHeld(SERVICE, "i-1", scheduler.nowMs());
  }

  @Test
  void shouldHoldLeaseAsLongAsAnotherDomainGrantsIt() {
    replies.put("vm-a", new LeaseReply(List.of(primary("i-1", true))));
    start();

    scheduler.advanceMs(5_000);
    assertTrue(isHeld());

    replies.clear();
    scheduler.advanceMs(PrimaryLeases.DURATION_MS + RTT_MS);
    assertFalse(isHeld());
  }

  /**
   * Load: all VMs lose power and start at once. The first renewal found no primary yet, and the
   * leases on those found a moment later were requested only at the next regular time.
   */
  @Test
  void shouldRequestLeasesAtOnceWhenPrimaryIsFoundAfterStart() {
    replies.put("vm-a", new LeaseReply(List.of(primary("i-1", true))));
    forwards = true;
    start();
    scheduler.advanceMs(RTT_MS);

    forwards = false;
    renewal.onPrimaryFound();
    scheduler.advanceMs(RTT_MS);

    assertTrue(isHeld());
  }

  /** Another VM may not know the primary yet when it is asked for the first time. */
  @Test
  void shouldRequestLeasesAgainSoonWhenOtherVmDoesNotKnowThePrimaryYet() {
    forwards = true;
    start();
    scheduler.advanceMs(RTT_MS);
    forwards = false;
    renewal.onPrimaryFound();
    scheduler.advanceMs(RTT_MS);

    replies.put("vm-a", new LeaseReply(List.of(primary("i-1", true))));
    scheduler.advanceMs(LeaseRenewal.URGENT_INTERVAL_MS + RTT_MS);

    assertTrue(isHeld());
  }

  /** Guards against a cost that grows while nothing changes. */
  @Test
  void shouldAskEachVmOnceAnIntervalWhenLeasesAreGranted() {
    replies.put("vm-a", new LeaseReply(List.of(primary("i-1", true))));
    start();
    scheduler.advanceMs(1_000);
    requests = 0;

    scheduler.advanceMs(10 * LeaseRenewal.INTERVAL_MS);

    assertEquals(20, requests);
    assertEquals(0, storeReads);
  }

  @Test
  void shouldNotHoldLeaseWhenOthersKnowAnotherPrimary() {
    KnownPrimary successor = new KnownPrimary(SERVICE, "i-2", 2, true);
    replies.put("vm-a", new LeaseReply(List.of(successor)));
    start();

    scheduler.advanceMs(1_000);

    assertFalse(isHeld());
    assertTrue(reported.contains(successor));
  }

  /** Guards against using a primary that this VM has just agreed to replace. */
  @Test
  void shouldGiveUpLeaseWhenThisVmDoesNotGrantItAnyMore() {
    replies.put("vm-a", new LeaseReply(List.of(primary("i-1", true))));
    start();
    scheduler.advanceMs(1_000);

    own = primary("i-1", false);
    scheduler.advanceMs(LeaseRenewal.INTERVAL_MS);

    assertFalse(isHeld());
  }

  /** Guards against an outage of a VM that is cut off from the other VMs only. */
  @Test
  void shouldRelyOnTheStoreWhenNoOtherVmAnswers() {
    replaced = Optional.of(Map.of());
    start();
    scheduler.advanceMs(LeaseRenewal.KNOWN_TO_ALL_AFTER_MS + LeaseRenewal.READ_STORE_AFTER_MS);

    for (int i = 0; i < 50; i++) {
      scheduler.advanceMs(100);
      assertTrue(isHeld());
    }
  }

  /** Guards against a VM that no other VM knows as a holder yet, and so waits for. */
  @Test
  void shouldNotRelyOnTheStoreWhenThisVmHasJustBecomeHolder() {
    replaced = Optional.of(Map.of());
    scheduler.advanceMs(2 * LeaseRenewal.KNOWN_TO_ALL_AFTER_MS);
    start();

    scheduler.advanceMs(LeaseRenewal.KNOWN_TO_ALL_AFTER_MS - 1);

    assertFalse(isHeld());
    assertEquals(0, storeReads);
  }

  /**
   * A VM that had given up its slot for a while relied on the store at once when it held a slot
   * again, although no other VM waited for its leases.
   */
  @Test
  void shouldNotRelyOnTheStoreWhenThisVmHasJustBecomeHolderAgain() {
    replaced = Optional.of(Map.of());
    start();
    forwards = true;
    scheduler.advanceMs(2 * LeaseRenewal.KNOWN_TO_ALL_AFTER_MS);
    forwards = false;

    scheduler.advanceMs(LeaseRenewal.KNOWN_TO_ALL_AFTER_MS - LeaseRenewal.INTERVAL_MS);

    assertFalse(isHeld());
    assertEquals(0, storeReads);
  }

  /** Guards against the use of a primary whose replacement has begun, as the store tells. */
  @Test
  void shouldNotRelyOnTheStoreWhenThePrimaryIsBeingReplaced() {
    replaced = replacementOf("i-1", CLAIMED_AT - 1);
    start();

    scheduler.advanceMs(2 * LeaseRenewal.KNOWN_TO_ALL_AFTER_MS);

    assertFalse(isHeld());
    assertTrue(storeReads > 0);
  }

  /**
   * Failure: the store names only the primary that was replaced last. A VM that had been cut off
   * together with a replaced primary used it again, as its successor was being replaced by then.
   */
  @Test
  void shouldNotRelyOnTheStoreWhenThePrimaryClaimedItsRoleBeforeAnotherOneWasReplaced() {
    replaced = replacementOf("i-3", CLAIMED_AT + 1);
    start();

    scheduler.advanceMs(2 * LeaseRenewal.KNOWN_TO_ALL_AFTER_MS);

    assertFalse(isHeld());
    assertTrue(storeReads > 0);
  }

  /** Guards against the same failure where the primary was found by asking the targets. */
  @Test
  void shouldNotRelyOnTheStoreWhenThePrimaryHasNotRegisteredItsRole() {
    replaced = replacementOf("i-3", CLAIMED_AT - 1);
    claimedAtRevision = OptionalLong.empty();
    start();

    scheduler.advanceMs(2 * LeaseRenewal.KNOWN_TO_ALL_AFTER_MS);

    assertFalse(isHeld());
  }

  /** Guards against an outage of a VM that is cut off from the others after a promotion. */
  @Test
  void shouldRelyOnTheStoreWhenThePrimaryClaimedItsRoleAfterAnotherOneWasReplaced() {
    replaced = replacementOf("i-3", CLAIMED_AT - 1);
    start();

    scheduler.advanceMs(2 * LeaseRenewal.KNOWN_TO_ALL_AFTER_MS);

    assertTrue(isHeld());
  }

  /** Guards against a lease that rests on a seat which another VM may have taken. */
  @Test
  void shouldNotCountItselfWhenItsSeatIsInDoubt() {
    replies.put("vm-a", new LeaseReply(List.of(primary("i-1", true))));
    voter = false;
    start();

    scheduler.advanceMs(1_000);

    assertFalse(isHeld());
  }

  /**
   * Guards against a longer failover where nothing is cut: a VM that was a holder for a moment went
   * on to request leases, and promotions waited for them although all holders had released.
   */
  @Test
  void shouldRequestNoLeasesWhenItForwards() {
    start();
    scheduler.advanceMs(1_000);
    forwards = true;
    requests = 0;

    scheduler.advanceMs(5_000);

    assertEquals(0, requests);
  }
}
