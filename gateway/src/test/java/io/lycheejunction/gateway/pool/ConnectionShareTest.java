package io.lycheejunction.gateway.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against exhaustion of a target's connection limit when many VMs connect at once. */
class ConnectionShareTest {

  @ParameterizedTest
  @CsvSource({"21, 6", "21, 9", "55, 7", "63, 40", "204, 69"})
  void shouldReserveConnectionsForRestartsWhenAllVmsUseTheirShare(int maxConnections, int vms) {
    ConnectionShare share = ConnectionShare.of(maxConnections, vms);

    assertTrue(share.max() * vms <= maxConnections - ConnectionShare.RESERVED_CONNECTIONS);
  }

  @ParameterizedTest
  @CsvSource({"21, 6", "21, 9", "55, 7", "204, 69"})
  void shouldLeaveHalfOfLimitFreeWhenAllConnectionsAreIdle(int maxConnections, int vms) {
    ConnectionShare share = ConnectionShare.of(maxConnections, vms);

    assertTrue(2 * share.maxIdle() * vms <= maxConnections);
  }

  @Test
  void shouldAllowOneConnectionAndNoIdleOneWhenThereAreMoreVmsThanConnections() {
    assertEquals(new ConnectionShare(1, 0), ConnectionShare.of(63, 82));
  }
}
