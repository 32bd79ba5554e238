package io.lycheejunction.gateway.holder;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.gateway.route.ServiceLimits;
import java.util.List;
import org.junit.jupiter.api.Test;

class SlotCountTest {

  private static int count(int maxConnections, int failureDomains) {
    return SlotCount.of(List.of(new ServiceLimits(maxConnections, 0)), failureDomains);
  }

  /** Answers six VMs and targets that accept 21 connections: each VM holds its own. */
  @Test
  void shouldGiveEachHolderSeveralConnections() {
    assertEquals(2, count(21, 3));
  }

  /** Answers 82 VMs and targets that accept 44 connections. */
  @Test
  void shouldStayWithinTheConnectionsThatTargetsAccept() {
    int holders = 3 * count(44, 3);

    assertEquals(12, holders);
  }

  /** Answers hundreds of VMs and targets that accept thousands of connections. */
  @Test
  void shouldStayBoundedWhenTargetsAcceptManyConnections() {
    assertEquals(SlotCount.MOST, count(5_000, 3));
    assertEquals(SlotCount.MOST, count(0, 3));
  }

  @Test
  void shouldLeaveOneHolderWhenTargetsAcceptHardlyAnyConnection() {
    assertEquals(1, count(3, 4));
  }

  @Test
  void shouldFollowTheServiceThatAcceptsFewest() {
    assertEquals(2, SlotCount.of(List.of(new ServiceLimits(21, 0), new ServiceLimits(500, 0)), 3));
  }
}
