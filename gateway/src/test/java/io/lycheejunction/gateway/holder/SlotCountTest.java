package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.gateway.organisation.Organisation;
import io.lycheejunction.gateway.organisation.Organisations;
import io.lycheejunction.gateway.route.ServiceLimits;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class SlotCountTest {

  private static int count(int maxConnections, int failureDomains) {
    return SlotCount.of(
        List.of(new ServiceLimits(maxConnections, 0)), failureDomains, Organisations.empty());
  }

  /** Covers six VMs and targets that accept 21 connections: every VM can be a holder. */
  @Test
  void shouldLeaveSeveralConnectionsPerHolderWhenVmsAreFew() {
    assertEquals(2, count(21, 3));
  }

  /**
   * Failure: a VM that holds connections is lost for good. With 16 connections a target, it was the
   * only one of its failure domain, whose VMs forwarded to other domains until its slot had
   * expired.
   */
  @Test
  void shouldLeaveSecondHolderInEachDomainWhenTargetsAcceptSixteenConnections() {
    assertEquals(2, count(16, 3));
  }

  /**
   * Load: a primary fails in a deployment of many VMs. With two connections each, twelve VMs were
   * holders, and all of them asked each other to release the primary at once.
   */
  @Test
  void shouldNotAddFurtherHoldersWhenEachDomainHasTwo() {
    assertEquals(2, count(27, 3));
  }

  /** Covers 82 VMs and targets that accept 44 connections, fewer than one per VM. */
  @Test
  void shouldStayWithinConnectionLimitWhenVmsAreMany() {
    int holders = 3 * count(44, 3);

    assertEquals(12, holders);
  }

  /** Guards against hundreds of holders where targets accept thousands of connections. */
  @Test
  void shouldStayBoundedWhenTargetsAcceptManyConnections() {
    assertEquals(SlotCount.MAX_HOLDERS_PER_DOMAIN, count(5_000, 3));
    assertEquals(SlotCount.MAX_HOLDERS_PER_DOMAIN, count(0, 3));
  }

  @Test
  void shouldReturnOneHolderWhenTargetsAcceptFewConnections() {
    assertEquals(1, count(3, 4));
  }

  /** Load: 73 organisations and targets that accept 70 connections, of which each needs one. */
  @Test
  void shouldLeaveLargePartsOfConnectionsWhenThereAreOrganisations() {
    Organisations organisations =
        Organisations.of(Map.of(new Organisation("acme", 1, Optional.empty()), List.of("key")));

    assertEquals(2, SlotCount.of(List.of(new ServiceLimits(70, 0)), 3, organisations));
    assertEquals(1, SlotCount.of(List.of(new ServiceLimits(8, 0)), 3, organisations));
  }

  @Test
  void shouldUseTheLowestLimitWhenServicesDiffer() {
    assertEquals(
        2,
        SlotCount.of(
            List.of(new ServiceLimits(21, 0), new ServiceLimits(500, 0)),
            3,
            Organisations.empty()));
  }
}
