package io.lycheejunction.proxy.group;

import static io.lycheejunction.proxy.group.GroupFixture.GROUP;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.standin.model.FaultInjector;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against several proxies claiming a group for the same failure: the other proxies notice
 * the lost primary, or the higher term of the fences, while the first claim is still in progress.
 */
class ConcurrentClaimsTest {
  private static final long STEP_MS = 50;

  /** Records the fencing proxies, and ticks the other proxies while one claim waits in a call. */
  private static final class Interleaving implements FaultInjector {
    private final String operation;
    private final Set<String> claimants = new LinkedHashSet<>();
    private GroupFixture fixture;
    private boolean pending;

    Interleaving(String operation) {
      this.operation = operation;
    }

    @Override
    public FaultAction before(Call call) {
      if (call.operation().equals("fence")) {
        claimants.add(call.source());
      }
      if (!pending || !call.operation().equals(operation)) {
        return FaultAction.PASS;
      }
      pending = false;
      return new FaultAction.Run(() -> tickOthers(call.source()));
    }

    private void tickOthers(String claimant) {
      List<String> others = new ArrayList<>(fixture.proxies.keySet());
      others.remove(claimant);
      for (int i = 0; i < 8; i++) {
        others.forEach(domain -> fixture.proxies.get(domain).tick());
        fixture.clock.advanceMs(STEP_MS);
      }
    }

    @Override
    public FaultAction after(Call call) {
      return FaultAction.PASS;
    }
  }

  private static void crashWithConcurrentClaims(String operation) {
    Interleaving interleaving = new Interleaving(operation);
    GroupFixture fixture = new GroupFixture(interleaving);
    interleaving.fixture = fixture;
    fixture.run(500);
    fixture.model.faults().crash("t-a");
    interleaving.pending = true;
    fixture.run(2_000);
    assertFalse(interleaving.pending);
    assertEquals(1, interleaving.claimants.size(), interleaving.claimants.toString());
    for (String domain : fixture.proxies.keySet()) {
      assertEquals(2, fixture.monitor(domain).view(GROUP).term());
    }
  }

  @Nested
  class Tick {
    @Test
    void shouldClaimOnceWhenOthersDetectLossBeforeFirstFence() {
      crashWithConcurrentClaims("fence");
    }

    @Test
    void shouldClaimOnceWhenOthersDetectFencesBeforePromotion() {
      crashWithConcurrentClaims("promote");
    }

    @Test
    void shouldDelayClaimWhenAnotherClaimRaisesTerm() {
      GroupFixture fixture = new GroupFixture();
      fixture.run(500);
      fixture.targets.forEach(t -> fixture.model.fence(t.name(), 2, "other"));
      fixture.run(500);
      fixture.targets.forEach(t -> fixture.model.fence(t.name(), 3, "another"));
      fixture.run(500);
      assertEquals(3, fixture.model.status("t-b").term());
      fixture.run(1_500);
      assertEquals(4, fixture.monitor("b").view(GROUP).term());
    }
  }

  @Nested
  class Grant {
    private final ClaimGrant grant = new ClaimGrant();

    @Test
    void shouldRefuseOthersWhenGrantIsInForce() {
      assertTrue(grant.tryGrant("b", 0, 0, 600));
      assertFalse(grant.tryGrant("c", 0, 599, 600));
      assertFalse(grant.tryReserve("a", 0, 599, 600));
      assertTrue(grant.tryGrant("b", 0, 599, 1));
      assertTrue(grant.tryGrant("c", 0, 600, 600));
    }

    @Test
    void shouldYieldToLowerRankOnlyWhenReservationIsUnconfirmed() {
      assertTrue(grant.tryReserve("c", 1, 0, 600));
      assertFalse(grant.tryGrant("d", 2, 1, 600));
      assertTrue(grant.tryGrant("b", 0, 1, 600));
      assertFalse(grant.tryConfirm("c", 2, 600));
      assertTrue(grant.tryReserve("c", 1, 700, 600));
      assertTrue(grant.tryConfirm("c", 700, 600));
      assertFalse(grant.tryGrant("b", 0, 701, 600));
    }
  }
}
