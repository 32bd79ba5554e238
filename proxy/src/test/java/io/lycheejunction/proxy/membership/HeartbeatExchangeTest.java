package io.lycheejunction.proxy.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.membership.MembershipEvent;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.proxy.configuration.AppliedLog;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class HeartbeatExchangeTest {
  private static final int FLEET_PROXIES = 710;
  private static final int HEADER_BYTES = 250;
  private static final int MESSAGES_PER_INTERVAL = 4;

  private static Vm vm(int number) {
    String name = "entry-vm-asahikawa-" + (1_000 + number);
    String address = "10.120." + (100 + number / 200) + "." + (100 + number % 100) + ":17101";
    return new Vm(name, Vm.Kind.ENTRY, "asahikawa", address, false);
  }

  @Test
  void shouldStayWithinBudgetWhenFleetIsLarge() {
    Membership membership =
        new Membership(
            vm(0),
            new AppliedLog(),
            ManualClock.paused(),
            RandomGeneratorFactory.of("L64X128MixRandom").create(5));
    List<Vm> fleet = IntStream.range(0, FLEET_PROXIES).mapToObj(HeartbeatExchangeTest::vm).toList();
    membership.apply(new MembershipEvent.VmListRead(fleet));
    HeartbeatMessage message =
        new HeartbeatMessage(membership.heartbeatTo(vm(1).name()), true, List.of());
    int bodyBytes = Json.write(message).getBytes(StandardCharsets.UTF_8).length;
    long bytesPerSecond =
        MESSAGES_PER_INTERVAL
            * (bodyBytes + HEADER_BYTES)
            * 1_000L
            / HeartbeatExchange.intervalMs(FLEET_PROXIES);
    assertTrue(
        bytesPerSecond <= HeartbeatExchange.BUDGET_BYTES_PER_SECOND,
        bodyBytes + " bytes per message, " + bytesPerSecond + " bytes per second");
  }
}
