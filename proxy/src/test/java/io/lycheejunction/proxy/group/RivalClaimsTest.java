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

class RivalClaimsTest {
  private static final long STEP_MS = 50;

  /** Records who fences, and lets the other watchers go on while one claim waits at a call. */
  private static final class Interleaving implements FaultInjector {
    private final String operation;
    private final Set<String> claimants = new LinkedHashSet<>();
    private GroupFixture fixture;
    private boolean armed;

    Interleaving(String operation) {
      this.operation = operation;
    }

    @Override
    public Injected before(Call call) {
      if (call.operation().equals("fence")) {
        claimants.add(call.source());
      }
      if (!armed || !call.operation().equals(operation)) {
        return Injected.PASS;
      }
      armed = false;
      return new Injected.Run(() -> tickOthers(call.source()));
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
    public Injected after(Call call) {
      return Injected.PASS;
    }
  }

  private static void crashWithRivals(String operation) {
    Interleaving interleaving = new Interleaving(operation);
    GroupFixture fixture = new GroupFixture(interleaving);
    interleaving.fixture = fixture;
    fixture.run(500);
    fixture.model.faults().crash("t-a");
    interleaving.armed = true;
    fixture.run(2_000);
    assertFalse(interleaving.armed);
    assertEquals(1, interleaving.claimants.size(), interleaving.claimants.toString());
    for (String domain : fixture.proxies.keySet()) {
      assertEquals(2, fixture.watch(domain).view(GROUP).term());
    }
  }

  @Nested
  class Tick {
    @Test
    void shouldClaimOnceWhenOthersSeeTheLossBeforeTheFirstFenceArrives() {
      crashWithRivals("fence");
    }

    @Test
    void shouldClaimOnceWhenOthersSeeTheFencesBeforeThePromotion() {
      crashWithRivals("promote");
    }

    @Test
    void shouldHoldBackWhenAnotherClaimRaisesTheTerm() {
      GroupFixture fixture = new GroupFixture();
      fixture.run(500);
      fixture.targets.forEach(t -> fixture.model.fence(t.name(), 2, "other"));
      fixture.run(500);
      fixture.targets.forEach(t -> fixture.model.fence(t.name(), 3, "another"));
      fixture.run(500);
      assertEquals(3, fixture.model.status("t-b").term());
      fixture.run(1_500);
      assertEquals(4, fixture.watch("b").view(GROUP).term());
    }
  }

  @Nested
  class Grants {
    private final ClaimGrant grant = new ClaimGrant();

    @Test
    void shouldRefuseOthersUntilTheGrantEnds() {
      assertTrue(grant.give("b", 0, 0, 600));
      assertFalse(grant.give("c", 0, 599, 600));
      assertFalse(grant.reserve("a", 0, 599, 600));
      assertTrue(grant.give("b", 0, 599, 1));
      assertTrue(grant.give("c", 0, 600, 600));
    }

    @Test
    void shouldGiveWayToLowerRankOnlyWhenTheOwnClaimHasNotStarted() {
      assertTrue(grant.reserve("c", 1, 0, 600));
      assertFalse(grant.give("d", 2, 1, 600));
      assertTrue(grant.give("b", 0, 1, 600));
      assertFalse(grant.hold("c", 2, 600));
      assertTrue(grant.reserve("c", 1, 700, 600));
      assertTrue(grant.hold("c", 700, 600));
      assertFalse(grant.give("b", 0, 701, 600));
    }
  }
}
