package io.lycheejunction.proxy.supervisor;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.clock.ManualClock;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SupervisorTest {
  private final List<String> events = new ArrayList<>();
  private final FakeChild first = new FakeChild("first");
  private final FakeChild second = new FakeChild("second");
  private final FakeChild third = new FakeChild("third");
  private final ManualClock clock = ManualClock.paused();
  private final Supervisor supervisor =
      new Supervisor("root", List.of(first, second, third), clock);

  private final class FakeChild implements Child {
    private final String name;
    private boolean healthy = true;

    FakeChild(String name) {
      this.name = name;
    }

    @Override
    public String name() {
      return name;
    }

    @Override
    public void start() {
      events.add("start " + name);
      healthy = true;
    }

    @Override
    public void stop() {
      events.add("stop " + name);
    }

    @Override
    public boolean isHealthy() {
      return healthy;
    }
  }

  @Nested
  class Stop {
    @Test
    void shouldStopInReverseWhenAllAreStarted() throws InterruptedException {
      supervisor.start();
      events.clear();
      supervisor.stop();
      assertEquals(List.of("stop third", "stop second", "stop first"), events);
    }

    @Test
    void shouldDoNothingWhenCalledAgain() throws InterruptedException {
      supervisor.start();
      supervisor.stop();
      events.clear();
      supervisor.stop();
      assertTrue(events.isEmpty());
    }
  }

  @Nested
  class Check {
    @Test
    void shouldRestartFailedChildAndThoseAfterItWhenBudgetAllows() throws InterruptedException {
      supervisor.start();
      events.clear();
      second.healthy = false;
      supervisor.check();
      assertEquals(List.of("stop third", "stop second", "start second", "start third"), events);
    }

    @Test
    void shouldFailWhenRestartBudgetIsSpent() throws InterruptedException {
      supervisor.start();
      for (int i = 0; i < 5; i++) {
        first.healthy = false;
        supervisor.check();
      }
      assertTrue(supervisor.isHealthy());
      first.healthy = false;
      supervisor.check();
      assertFalse(supervisor.isHealthy());
    }

    @Test
    void shouldRestartAgainWhenWindowHasPassed() throws InterruptedException {
      supervisor.start();
      for (int i = 0; i < 5; i++) {
        first.healthy = false;
        supervisor.check();
      }
      clock.advanceMs(60_000);
      first.healthy = false;
      supervisor.check();
      assertTrue(supervisor.isHealthy());
    }
  }
}
