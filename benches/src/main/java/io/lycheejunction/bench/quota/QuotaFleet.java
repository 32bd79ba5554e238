package io.lycheejunction.bench.quota;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.organisation.Organisation;
import io.lycheejunction.gateway.organisation.Organisations;
import io.lycheejunction.gateway.organisation.Quota;
import io.lycheejunction.gateway.quota.QuotaAllowance;
import io.lycheejunction.gateway.quota.QuotaDecision;
import io.lycheejunction.gateway.quota.Quotas;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.function.Consumer;

/** VMs with callers, of which the first hold connections to targets and decide on quotas. */
final class QuotaFleet {
  /** How operations are divided over VMs and services. */
  enum Demand {
    EVEN,
    UNEVEN,
    MOVING
  }

  static final QuotaAllowance ALLOWANCE = new QuotaAllowance(5_000, 0.1, 20);
  private static final long START_MS = 500;
  private static final int SERVICES = 6;
  private static final int MOVE_INTERVAL_MS = 3_000;
  private static final int MAX_DELAY_MS = 4;
  private static final double UNEVENNESS = 4;
  private static final double MS_PER_S = 1_000;

  private final VirtualScheduler scheduler = new VirtualScheduler();
  private final Random random;
  private final List<Quotas> vms = new ArrayList<>();
  private final int holders;
  private final List<OrganisationLoad> loads;
  private long quotaMessages;

  QuotaFleet(int vms, int holders, List<OrganisationLoad> loads, long seed) {
    this.random = new Random(seed);
    this.holders = holders;
    this.loads = List.copyOf(loads);
    for (int i = 0; i < vms; i++) {
      this.vms.add(newVm(i));
    }
  }

  private Quotas newVm(int vm) {
    List<String> others = new ArrayList<>();
    for (int i = 0; i < holders; i++) {
      if (i != vm) {
        others.add(Integer.toString(i));
      }
    }
    OptionalLong heldSinceMs = vm < holders ? OptionalLong.of(0) : OptionalLong.empty();
    Quotas quotas =
        new Quotas(
            Optional.of(ALLOWANCE), scheduler, () -> heldSinceMs, this::request, () -> others);
    quotas.setSlots(holders);
    Map<Organisation, List<String>> keys = new HashMap<>();
    for (OrganisationLoad load : loads) {
      Optional<Quota> quota = Optional.of(load.quota());
      keys.put(new Organisation(load.name(), 0, quota), List.of(load.name()));
    }
    quotas.apply(Organisations.of(keys));
    return quotas;
  }

  private void request(
      String vm, Map<String, Double> want, Consumer<Optional<Map<String, Double>>> done) {
    quotaMessages++;
    deliver(
        () -> {
          Map<String, Double> given = vms.get(Integer.parseInt(vm)).give(want);
          quotaMessages++;
          deliver(() -> done.accept(Optional.of(given)));
        });
  }

  private void deliver(Runnable message) {
    scheduler.schedule(1 + random.nextInt(MAX_DELAY_MS), message);
  }

  /**
   * Offers operations at a multiple of each organisation's rate, after a time without load in which
   * holders that have just started give no tokens.
   */
  void run(long durationMs, double multiple, Demand demand) {
    for (long ms = START_MS; ms < START_MS + durationMs; ms++) {
      scheduler.advanceTo(ms);
      for (OrganisationLoad load : loads) {
        double expected = load.quota().ratePerS() * multiple / MS_PER_S;
        for (double left = expected; left > 0; left--) {
          if (random.nextDouble() < left) {
            offer(load, choose(vms.size(), demand), choose(SERVICES, demand));
          }
        }
      }
    }
  }

  private int choose(int count, Demand demand) {
    double even = random.nextDouble();
    long moves = scheduler.nowMs() / MOVE_INTERVAL_MS;
    return switch (demand) {
      case EVEN -> (int) (count * even);
      case UNEVEN -> (int) (count * Math.pow(even, UNEVENNESS));
      case MOVING -> (int) ((count * Math.pow(even, UNEVENNESS) + moves * (count / 3 + 1)) % count);
    };
  }

  private void offer(OrganisationLoad load, int vm, int service) {
    load.recordOffer(scheduler.nowMs());
    Optional<String> name = Optional.of(load.name());
    int holder = Math.floorMod(Objects.hash(load.name(), service), holders);
    if (vm == holder) {
      vms.get(vm).admit(name, true, decision -> record(load, decision));
      return;
    }
    vms.get(vm)
        .admit(
            name,
            false,
            decision -> {
              if (decision instanceof QuotaDecision.Allowed) {
                deliver(() -> forward(load, vm, holder));
              }
            });
  }

  private void forward(OrganisationLoad load, int vm, int holder) {
    Optional<String> name = Optional.of(load.name());
    vms.get(holder)
        .admit(
            name,
            true,
            decision -> {
              record(load, decision);
              Optional<Fault> fault =
                  decision instanceof QuotaDecision.Refused(Fault refusal)
                      ? Optional.of(refusal)
                      : Optional.empty();
              deliver(() -> vms.get(vm).recordForwarded(name, fault));
            });
  }

  private void record(OrganisationLoad load, QuotaDecision decision) {
    if (decision instanceof QuotaDecision.Allowed) {
      load.recordStart(scheduler.nowMs());
    }
  }

  /** Returns the messages about tokens that were sent. */
  long quotaMessages() {
    return quotaMessages;
  }
}
