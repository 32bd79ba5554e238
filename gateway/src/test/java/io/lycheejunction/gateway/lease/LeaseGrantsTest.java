package io.lycheejunction.gateway.lease;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;

class LeaseGrantsTest {
  private static final String SERVICE = "ledger";

  private final LeaseGrants grants = new LeaseGrants();

  @Test
  void shouldReportHowLongGrantedLeasesRemainValid() {
    grants.grant("vm-a", SERVICE, 2_000);
    grants.grant("vm-b", SERVICE, 2_400);

    assertEquals(
        Map.of("vm-a", 200L, "vm-b", 600L),
        grants.remainingMs(SERVICE, 1_800 + PrimaryLeases.DURATION_MS));
    assertEquals(
        Map.of("vm-b", 400L), grants.remainingMs(SERVICE, 2_000 + PrimaryLeases.DURATION_MS));
  }

  @Test
  void shouldReleaseOnlyTheGivenPrimaryAndForLimitedTime() {
    grants.release(SERVICE, "i-1", "vm-a", Set.of("i-2"), 5_000);

    assertTrue(grants.isReleased(SERVICE, "i-1", 5_000));
    assertFalse(grants.isReleased(SERVICE, "i-2", 5_000));
    assertFalse(grants.isReleased(SERVICE, "i-1", 5_000 + LeaseGrants.RELEASE_VALID_MS));
  }

  /** Two VMs may be about to replace the primary at once, and only one gives up. */
  @Test
  void shouldKeepReleaseForAnotherVmWhenOneResumes() {
    grants.release(SERVICE, "i-1", "vm-a", Set.of("i-2"), 5_000);
    grants.release(SERVICE, "i-1", "vm-b", Set.of("i-2"), 5_000);

    grants.resume(SERVICE, "vm-a");
    assertTrue(grants.isReleased(SERVICE, "i-1", 5_000));

    grants.resume(SERVICE, "vm-b");
    assertFalse(grants.isReleased(SERVICE, "i-1", 5_000));
  }

  /** A primary that crashed and has started again may claim its role under another identifier. */
  @Test
  void shouldCoverTargetsThatWereNotKnownWhenThePrimaryWasReleased() {
    grants.release(SERVICE, "i-1", "vm-a", Set.of("i-2"), 5_000);

    assertTrue(grants.isReleased(SERVICE, "i-9", 5_000));
    assertFalse(grants.isReleased(SERVICE, "i-9", 5_000 + LeaseGrants.RELEASE_VALID_MS));
  }
}
