package io.lycheejunction.proxy.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.port.Vm;
import io.lycheejunction.proxy.supervisor.Drainable;
import io.lycheejunction.standin.model.FaultInjector;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against wrong sets of live proxies and leaving targets, and against unfinished shutdowns,
 * when proxies die or are cut off and the platform's list of VMs is stale or unreachable.
 */
class MembershipFaultsTest {
  private final Fleet fleet = Fleet.of(FaultInjector.NONE);

  private Fleet.Node node(String name) {
    return fleet.node(name);
  }

  private List<String> live(String name) {
    return node(name).control().membership().live().stream().map(Vm::name).toList();
  }

  private boolean leaving(String name, String target) {
    return node(name).control().membership().isLeaving(target);
  }

  private void rounds(int count) {
    for (int i = 0; i < count; i++) {
      fleet.round();
    }
  }

  @Nested
  class Proxies {
    @Test
    void shouldDropProxyWhenItDiesButListStillHasIt() {
      fleet.nodes.remove("vm-b");
      rounds(8);
      assertEquals(List.of("vm-a", "vm-c"), live("vm-a"));
      assertEquals(List.of("vm-a", "vm-c"), live("vm-c"));
    }

    @Test
    void shouldKeepProxyWhenListNoLongerHasIt() {
      rounds(4);
      fleet.platform.removeVm("vm-b");
      rounds(8);
      assertEquals(List.of("vm-a", "vm-b", "vm-c"), live("vm-a"));
    }

    @Test
    void shouldReplaceProxyWhenNewVmHasItsAddress() {
      rounds(4);
      Fleet.Node old = fleet.nodes.remove("vm-b");
      fleet.start("vm-bb", "lekki", List.of(node("vm-a").vm().address()), List.of());
      assertEquals(old.vm().address(), node("vm-bb").vm().address());
      rounds(6);
      assertEquals(List.of("vm-a", "vm-bb", "vm-c"), live("vm-a"));
    }

    @Test
    void shouldBeLiveAgainWhenCutDomainIsReconnected() {
      fleet.links.isolate("lekki", List.of("ikeja", "apapa"));
      rounds(10);
      assertEquals(List.of("vm-a", "vm-c"), live("vm-a"));
      fleet.links.healAll();
      rounds(10);
      assertEquals(List.of("vm-a", "vm-b", "vm-c"), live("vm-a"));
      assertEquals(List.of("vm-a", "vm-b", "vm-c"), live("vm-b"));
    }
  }

  @Nested
  class Targets {
    private void createGroup() {
      node("vm-a").run(Fleet.CREATE_GROUP);
      fleet.platform.putVm(new Vm("a2", Vm.Kind.TARGET, "lekki", "10.1.0.2:1", false));
      rounds(2);
    }

    @Test
    void shouldNotifyHolderAtOnceWhenAnotherProxyReadsTheList() {
      createGroup();
      fleet.platform.setLeaving("a2", true);
      assertFalse(leaving("vm-b", "a2"));
      node("vm-a").control().vmListPoll().poll();
      assertTrue(leaving("vm-b", "a2"));
    }

    @Test
    void shouldNotifyHolderAtOnceWhenOperatorDrainsTarget() {
      createGroup();
      node("vm-c").run("drain target a2");
      assertTrue(leaving("vm-b", "a2"));
    }

    @Test
    void shouldNotifyByPeersWhenDomainsAreCutFromPlatform() {
      createGroup();
      fleet.links.cutPlatform("lekki");
      fleet.links.cutPlatform("apapa");
      fleet.platform.setLeaving("a2", true);
      rounds(3);
      assertTrue(leaving("vm-b", "a2"));
      assertTrue(leaving("vm-c", "a2"));
    }
  }

  @Nested
  class Shutdowns {
    private final List<String> steps = new ArrayList<>();

    /** Becomes idle at the third wait. */
    private final class IdleAtThirdWait implements Drainable {
      private int waits;

      @Override
      public void drain() {
        steps.add("drain live=" + live("vm-a"));
      }

      @Override
      public boolean awaitIdle(long timeoutMs) {
        fleet.clock.advanceMs(timeoutMs);
        waits++;
        steps.add("wait");
        return waits == 3;
      }

      @Override
      public String waitingFor() {
        return waits < 3 ? "2 requests" : "";
      }
    }

    @Test
    void shouldAnnounceLeavingBeforeDrainWhenWorkRemains() throws InterruptedException {
      Fleet.Node leaving = fleet.start("vm-b", "lekki", List.of(), List.of(new IdleAtThirdWait()));
      leaving.control().vmListPoll().poll();
      rounds(2);
      assertEquals("2 requests", leaving.shutdown().waitingFor());
      leaving.shutdown().run();
      leaving.shutdown().awaitDrained();
      assertEquals(List.of("drain live=[vm-a, vm-c]", "wait", "wait", "wait"), steps);
      assertTrue(leaving.shutdown().reasonNotReady().isPresent());
      assertFalse(leaving.shutdown().begin("signal"));
    }

    @Test
    void shouldEndAtLongestWaitWhenWorkNeverFinishes() throws InterruptedException {
      Drainable stuck =
          new Drainable() {
            @Override
            public void drain() {}

            @Override
            public boolean awaitIdle(long timeoutMs) {
              fleet.clock.advanceMs(timeoutMs);
              return false;
            }

            @Override
            public String waitingFor() {
              return "a transaction";
            }
          };
      Fleet.Node leaving = fleet.start("vm-b", "lekki", List.of(), List.of(stuck));
      long beganMs = fleet.clock.monotonicMs();
      leaving.shutdown().run();
      leaving.shutdown().awaitDrained();
      assertTrue(fleet.clock.monotonicMs() - beganMs <= GracefulShutdown.MAX_WAIT_MS);
      assertEquals("a transaction", leaving.shutdown().waitingFor());
    }

    @Test
    void shouldShutDownWhenListMarksOwnVmAsLeaving() throws InterruptedException {
      rounds(2);
      fleet.platform.setLeaving("vm-b", true);
      node("vm-a").control().vmListPoll().poll();
      assertTrue(node("vm-a").shutdown().reasonNotReady().isEmpty());
      node("vm-b").control().vmListPoll().poll();
      assertTrue(node("vm-b").shutdown().reasonNotReady().isPresent());
      node("vm-b").shutdown().awaitDrained();
      assertEquals(List.of("vm-a", "vm-c"), live("vm-c"));
    }

    @Test
    void shouldShutDownProxyWhenAnotherProxyReceivesTheStatement() throws InterruptedException {
      rounds(2);
      assertTrue(node("vm-a").run("shutdown proxy vm-b").text().contains("vm-b is shutting down"));
      node("vm-b").shutdown().awaitDrained();
      assertEquals(List.of("vm-a", "vm-c"), live("vm-a"));
    }
  }
}
