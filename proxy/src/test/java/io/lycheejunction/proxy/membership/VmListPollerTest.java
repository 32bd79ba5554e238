package io.lycheejunction.proxy.membership;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.json.Json;
import io.lycheejunction.common.wire.PlatformAnswer;
import io.lycheejunction.core.port.Vm;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class VmListPollerTest {
  @Nested
  class PollIntervalMs {
    private static Vm vm(int number) {
      String name = "entry-vm-asahikawa-" + (1_000 + number);
      String address = "10.120." + (100 + number / 200) + "." + (100 + number % 100) + ":17101";
      return new Vm(name, Vm.Kind.ENTRY, "asahikawa", address, false);
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 60, 710})
    void shouldStayWithinBudgetWhenFleetHasSize(int proxies) {
      List<Vm> fleet = IntStream.range(0, proxies).mapToObj(PollIntervalMs::vm).toList();
      String answer = Json.write(new PlatformAnswer.Vms(fleet));
      long bytesPerSecond =
          answer.getBytes(StandardCharsets.UTF_8).length
              * 1_000L
              / VmListPoller.pollIntervalMs(proxies);
      assertTrue(bytesPerSecond <= 1_550, bytesPerSecond + " bytes per second");
    }

    @ParameterizedTest
    @ValueSource(ints = {6, 60, 710})
    void shouldPollTenTimesPerSecondInTotalWhenFleetHasSize(int proxies) {
      assertTrue(proxies * 1_000L / VmListPoller.pollIntervalMs(proxies) >= 10);
    }
  }
}
