package io.lycheejunction.gateway.lease;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import org.junit.jupiter.api.Test;

class PrimaryLeasesTest {
  private static final String SERVICE = "ledger";
  private static final Map<String, String> VMS = Map.of("vm-a", "a", "vm-b", "b", "vm-c", "c");

  private final PrimaryLeases leases = new PrimaryLeases(() -> VoterSet.of(VMS));

  private void grant(String vm, long requestedMs) {
    leases.recordGrant(vm, SERVICE, "i-1", requestedMs);
  }

  private boolean isHeld(long nowMs) {
    return leases.isHeld(SERVICE, "i-1", nowMs);
  }

  @Test
  void shouldHoldLeaseWhenOthersCannotReplaceThePrimary() {
    grant("vm-a", 100);
    assertFalse(isHeld(100));

    grant("vm-b", 100);
    assertTrue(isHeld(100));
  }

  /**
   * Guards against the use of a replaced primary by VMs that are cut off together with it: their
   * lease ends one duration after the last request that enough VMs have answered.
   */
  @Test
  void shouldLoseLeaseWhenGrantsOfOtherDomainsExpire() {
    grant("vm-b", 100);
    grant("vm-a", 100);
    grant("vm-a", 900);

    assertTrue(isHeld(100 + PrimaryLeases.DURATION_MS - 1));
    assertFalse(isHeld(100 + PrimaryLeases.DURATION_MS));
  }

  @Test
  void shouldNotHoldLeaseOnAnotherPrimary() {
    grant("vm-a", 100);
    grant("vm-b", 100);

    assertFalse(leases.isHeld(SERVICE, "i-2", 100));
  }

  /** Guards against leases on two primaries at once: the lease on the former one ends. */
  @Test
  void shouldLoseLeaseWhenAnotherPrimaryIsGranted() {
    grant("vm-a", 100);
    grant("vm-b", 100);
    leases.recordGrant("vm-a", SERVICE, "i-2", 200);

    assertFalse(isHeld(200));
  }

  /** Guards against a suspended VM that counts its lease on a clock that stood still. */
  @Test
  void shouldIgnoreGrantsFromBeforeSuspectedSuspension() {
    grant("vm-a", 100);
    grant("vm-b", 100);
    leases.invalidateBefore(200);
    assertFalse(isHeld(200));

    grant("vm-a", 199);
    grant("vm-b", 199);
    assertFalse(isHeld(200));

    grant("vm-a", 200);
    grant("vm-b", 200);
    assertTrue(isHeld(200));
  }

  /** Guards against an outage of VMs that are cut off from all others but not from the store. */
  @Test
  void shouldHoldLeaseWhenTheStoreConfirmsThatThePrimaryIsNotReplaced() {
    leases.recordNotReplaced(SERVICE, "i-1", 100);

    assertTrue(isHeld(100 + PrimaryLeases.STORE_READ_VALID_MS - 1));
    assertFalse(isHeld(100 + PrimaryLeases.STORE_READ_VALID_MS));
  }
}
