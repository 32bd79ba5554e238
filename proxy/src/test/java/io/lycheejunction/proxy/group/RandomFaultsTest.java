package io.lycheejunction.proxy.group;

import static io.lycheejunction.proxy.group.GroupFixture.GROUP;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.standin.model.FaultInjector;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost acknowledged writes, two primaries in one term and diverging logs under
 * random crashes, network partitions, replica lag, dead proxies and lost claim messages. Failures
 * name the seed and step.
 */
class RandomFaultsTest {
  private static final int SEEDS = 40;
  private static final int STEPS_PER_SEED = 25;
  private static final int ROUNDS_PER_STEP = 3;
  private static final int MIN_ACKNOWLEDGED = 1_000;
  private static final long RECOVERY_MS = 180_000;
  private static final List<String> DOMAINS = List.of("a", "b", "c");

  private final Map<Long, String> primaryByTerm = new HashMap<>();
  private final Set<LogPosition> acknowledged = new HashSet<>();
  private int totalAcknowledged;

  /** Drops some fence and promotion calls: the request before, or the reply after its effect. */
  private record LossyClaims(SplittableRandom random) implements FaultInjector {
    private static final double LOSS_PROBABILITY = 0.15;

    @Override
    public FaultAction before(Call call) {
      return isClaim(call) && random.nextDouble() < LOSS_PROBABILITY
          ? new FaultAction.LoseRequest()
          : FaultAction.PASS;
    }

    @Override
    public FaultAction after(Call call) {
      return isClaim(call) && random.nextDouble() < LOSS_PROBABILITY
          ? new FaultAction.LoseReply()
          : FaultAction.PASS;
    }

    private static boolean isClaim(Call call) {
      return call.operation().equals("fence") || call.operation().equals("promote");
    }
  }

  @Test
  void shouldKeepEveryAcknowledgedWriteWhenFaultsAreRandom() {
    for (long seed = 1; seed <= SEEDS; seed++) {
      primaryByTerm.clear();
      acknowledged.clear();
      SplittableRandom random = new SplittableRandom(seed);
      GroupFixture fixture = new GroupFixture(new LossyClaims(random.split()));
      fixture.run(300);
      for (int step = 0; step < STEPS_PER_SEED; step++) {
        injectRandomFault(fixture, random);
        for (int i = 0; i < ROUNDS_PER_STEP; i++) {
          for (String domain : DOMAINS) {
            write(fixture, domain, "seed " + seed + " step " + step);
          }
          fixture.run(1 + random.nextInt(400));
          checkOnePrimaryPerTerm(fixture, "seed " + seed + " step " + step);
        }
      }
      clearFaults(fixture);
      checkFinalState(fixture, "seed " + seed);
      totalAcknowledged += acknowledged.size();
    }
    assertTrue(
        totalAcknowledged >= MIN_ACKNOWLEDGED,
        "only " + totalAcknowledged + " writes were acknowledged");
  }

  private static void injectRandomFault(GroupFixture fixture, SplittableRandom random) {
    String domain = DOMAINS.get(random.nextInt(3));
    String other = DOMAINS.get(random.nextInt(3));
    String target = "t-" + domain;
    switch (random.nextInt(12)) {
      case 0 -> fixture.links.isolate(domain, DOMAINS);
      case 1 -> fixture.links.cut(domain, other);
      case 2, 3, 4 -> fixture.links.healAll();
      case 5 -> fixture.model.faults().crash(target);
      case 6, 7 -> DOMAINS.forEach(d -> fixture.model.faults().restart("t-" + d));
      case 8 -> fixture.model.faults().setReplicaLagMs(target, random.nextInt(2_000));
      case 9 -> fixture.deadProxies.add(domain);
      default -> fixture.deadProxies.clear();
    }
  }

  private void write(GroupFixture fixture, String domain, String context) {
    GroupView view = fixture.monitor(domain).view(GROUP);
    if (fixture.deadProxies.contains(domain)
        || !view.primary().equals(Optional.of("t-" + domain))
        || fixture.monitor(domain).confirmTerm(GROUP, view.term(), 100).isEmpty()) {
      return;
    }
    Optional<LogPosition> position = fixture.write(domain, "t-" + domain, view.term());
    if (position.isEmpty()) {
      return;
    }
    Result<GroupView> received =
        fixture.monitor(domain).confirmReceived(GROUP, position.get(), 150);
    if (!received.isEmpty() && fixture.monitor(domain).mayAcknowledge(GROUP, view.term())) {
      acknowledged.add(position.get());
      for (TargetStatus status : statuses(fixture)) {
        boolean replaced = status.role() == Role.PRIMARY && status.term() > view.term();
        assertTrue(!replaced, context + ": acknowledged by a replaced primary");
      }
    }
  }

  private static List<TargetStatus> statuses(GroupFixture fixture) {
    return fixture.targets.stream().map(t -> fixture.model.status(t.name())).toList();
  }

  private void checkOnePrimaryPerTerm(GroupFixture fixture, String context) {
    for (TargetStatus status : statuses(fixture)) {
      if (status.role() == Role.PRIMARY) {
        String knownPrimary = primaryByTerm.computeIfAbsent(status.term(), term -> status.target());
        assertEquals(knownPrimary, status.target(), context + ": two primaries of one term");
      }
    }
  }

  private static void clearFaults(GroupFixture fixture) {
    fixture.links.healAll();
    fixture.deadProxies.clear();
    for (String domain : DOMAINS) {
      fixture.model.faults().restart("t-" + domain);
      fixture.model.faults().setReplicaLagMs("t-" + domain, 0);
    }
    fixture.run(RECOVERY_MS);
  }

  private void checkFinalState(GroupFixture fixture, String context) {
    String primary = fixture.model.primary().orElseThrow(() -> new AssertionError(context));
    Set<LogPosition> log = new HashSet<>();
    fixture.model.log(primary).forEach(entry -> log.add(entry.position()));
    for (LogPosition position : acknowledged) {
      assertTrue(log.contains(position), context + ": lost " + position);
    }
    for (String domain : DOMAINS) {
      assertEquals(
          Optional.of(primary),
          fixture.monitor(domain).view(GROUP).primary(),
          context + " in " + domain);
      assertEquals(fixture.model.log(primary), fixture.model.log("t-" + domain), context);
    }
  }
}
