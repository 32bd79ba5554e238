package io.lycheejunction.gateway.quota;

import io.lycheejunction.gateway.organisation.Organisation;
import io.lycheejunction.gateway.organisation.Organisations;
import io.lycheejunction.gateway.organisation.Quota;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.schedule.Scheduler;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/** Holders with quotas on a virtual clock; their messages may be late, lost or doubled. */
final class QuotaFleet {
  static final String ORGANISATION = "moss & co";
  static final QuotaAllowance ALLOWANCE = new QuotaAllowance(5_000, 0.1, 20);
  private static final long CLIENT_TIMEOUT_MS = 200;

  final ManualScheduler scheduler = new ManualScheduler();
  final List<Vm> vms = new ArrayList<>();
  final List<Long> starts = new ArrayList<>();
  final Random random;
  private Quota quota;
  private long maxDelayMs = 4;
  private double lossRate;
  private double doubleRate;
  private final TokenBucket ideal;
  int offered;

  /** The operations that one bucket for all VMs would have let start. */
  int ideallyStarted;

  int messages;

  QuotaFleet(int holders, Quota quota, long seed) {
    this.random = new Random(seed);
    this.quota = quota;
    this.ideal =
        new TokenBucket(
            quota.ratePerS(), quota.burst(), ALLOWANCE.firstTokens(1), scheduler.nowMs());
    for (int i = 0; i < holders; i++) {
      vms.add(new Vm("vm-" + i));
    }
    vms.forEach(Vm::start);
  }

  /** One holder, with timers that do not run while it is frozen. */
  final class Vm implements Scheduler {
    final String name;
    final Set<String> cutOffFrom = new HashSet<>();
    private final List<Runnable> backlog = new ArrayList<>();
    Quotas quotas;
    OptionalLong heldSinceMs = OptionalLong.empty();
    boolean dead;
    private boolean frozen;

    private Vm(String name) {
      this.name = name;
    }

    /** Starts the process, or starts it again without its memory. */
    void start() {
      dead = false;
      heldSinceMs = OptionalLong.of(scheduler.nowMs());
      Quotas[] own = new Quotas[1];
      own[0] =
          new Quotas(
              Optional.of(ALLOWANCE),
              this,
              () -> heldSinceMs,
              (vm, want, done) -> send(this, vm, want, answer -> ifCurrent(own[0], done, answer)),
              () -> vms.stream().map(vm -> vm.name).filter(other -> !other.equals(name)).toList());
      quotas = own[0];
      quotas.setSlots(vms.size());
      quotas.apply(organisations(quota));
    }

    private void ifCurrent(
        Quotas process,
        Consumer<Optional<Map<String, Double>>> done,
        Optional<Map<String, Double>> answer) {
      if (quotas == process && !dead) {
        whenRunning(() -> done.accept(answer));
      }
    }

    void freeze() {
      frozen = true;
    }

    void thaw() {
      frozen = false;
      List<Runnable> late = List.copyOf(backlog);
      backlog.clear();
      late.forEach(Runnable::run);
    }

    private void whenRunning(Runnable task) {
      if (frozen) {
        backlog.add(task);
      } else if (!dead) {
        task.run();
      }
    }

    /** Offers one operation, which is recorded when it starts. */
    void offer() {
      offered++;
      if (ideal.level(scheduler.nowMs()) >= 1) {
        ideal.take(1, scheduler.nowMs());
        ideallyStarted++;
      }
      if (!dead && !frozen) {
        quotas.admit(Optional.of(ORGANISATION), true, this::record);
      }
    }

    private void record(QuotaDecision decision) {
      if (decision instanceof QuotaDecision.Allowed) {
        starts.add(scheduler.nowMs());
      }
    }

    @Override
    public long nowMs() {
      return scheduler.nowMs();
    }

    @Override
    public Timer schedule(long delayMs, Runnable task) {
      return scheduler.schedule(delayMs, () -> whenRunning(task));
    }
  }

  static Organisations organisations(Quota quota) {
    return Organisations.of(
        Map.of(new Organisation(ORGANISATION, 0, Optional.of(quota)), List.of("key")));
  }

  /** Sets how long messages take at most and how many are lost or doubled. */
  QuotaFleet withNetwork(long delayMs, double lost, double doubled) {
    maxDelayMs = delayMs;
    lossRate = lost;
    doubleRate = doubled;
    return this;
  }

  void change(Quota changed) {
    quota = changed;
    vms.forEach(vm -> vm.quotas.apply(organisations(changed)));
  }

  /** Offers operations at random times for a while; the weights divide the rate over the VMs. */
  void run(long durationMs, double ratePerS, double... weights) {
    double total = 0;
    for (double weight : weights) {
      total += weight;
    }
    for (long ms = 0; ms < durationMs; ms++) {
      for (int i = 0; i < weights.length; i++) {
        if (random.nextDouble() < ratePerS / 1_000 * weights[i] / total) {
          vms.get(i).offer();
        }
      }
      scheduler.advanceMs(1);
    }
  }

  private void send(
      Vm from, String to, Map<String, Double> want, Consumer<Optional<Map<String, Double>>> done) {
    Vm target = vms.stream().filter(vm -> vm.name.equals(to)).findFirst().orElseThrow();
    scheduler.schedule(CLIENT_TIMEOUT_MS, () -> done.accept(Optional.empty()));
    deliver(from, target, () -> answer(from, target, want, done));
    if (random.nextDouble() < doubleRate) {
      deliver(from, target, () -> answer(from, target, want, done));
    }
  }

  private void answer(
      Vm from, Vm target, Map<String, Double> want, Consumer<Optional<Map<String, Double>>> done) {
    Map<String, Double> given = target.quotas.give(want);
    deliver(target, from, () -> done.accept(Optional.of(given)));
  }

  private void deliver(Vm from, Vm to, Runnable message) {
    messages++;
    boolean cut = from.cutOffFrom.contains(to.name) || to.cutOffFrom.contains(from.name);
    if (!cut && random.nextDouble() >= lossRate) {
      long delayMs = 1 + (long) (random.nextDouble() * maxDelayMs);
      scheduler.schedule(delayMs, () -> to.whenRunning(message));
    }
  }

  /** Returns the most operations that have started in any window since a time. */
  int worstWindow(long sinceMs) {
    int worst = 0;
    int first = 0;
    for (int last = 0; last < starts.size(); last++) {
      while (starts.get(last) - starts.get(first) >= ALLOWANCE.windowMs()
          || starts.get(first) < sinceMs && first < last) {
        first++;
      }
      worst = Math.max(worst, last - first + 1);
    }
    return worst;
  }
}
