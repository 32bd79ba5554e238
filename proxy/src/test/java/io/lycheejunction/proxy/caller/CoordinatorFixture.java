package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.clock.ManualClock;
import io.lycheejunction.core.configuration.Configuration;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.CutOffReads;
import io.lycheejunction.core.configuration.Durability;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.ServiceSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.group.GroupView;
import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Vm;
import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.retry.RetryBudget;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.holder.HolderAnswer;
import io.lycheejunction.proxy.holder.HolderStatement;
import io.lycheejunction.proxy.holder.KeyAnswer;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/** A coordinator with fake dependencies, used by one thread with an advancing clock. */
final class CoordinatorFixture {
  static final String GROUP = "ledger";
  static final String SERVICE = "orders";
  static final long TIMEOUT_MS = 2_000;
  static final GroupView VIEW = new GroupView(GROUP, 1, Optional.of("t1"), new LogPosition(1, 9));
  static final GroupView NEXT_VIEW =
      new GroupView(GROUP, 2, Optional.of("t2"), new LogPosition(2, 1));

  final ManualClock clock = ManualClock.advancing();
  final FakeHolderClient holders = new FakeHolderClient();
  final FakeGroupMonitor watch = new FakeGroupMonitor(clock, VIEW);
  final Coordinator coordinator;

  CoordinatorFixture() {
    this(CallerLimits.defaults(), new CallerMetrics(new SimpleMeterRegistry()));
  }

  CoordinatorFixture(CallerLimits limits, CallerMetrics metrics) {
    coordinator =
        new Coordinator(
            source(),
            watch,
            holders,
            new SingleVmPeers(),
            new SharedRetryBudget(RetryBudget.full(0.1, 1_000)),
            new Random(7),
            clock,
            limits,
            metrics);
  }

  static ConfigurationSource source() {
    GroupSpec group =
        new GroupSpec(
            GROUP,
            List.of(
                new TargetSpec("t1", "ikeja", "127.0.0.1:1"),
                new TargetSpec("t2", "lekki", "127.0.0.1:2"),
                new TargetSpec("t3", "apapa", "127.0.0.1:3")),
            3,
            20,
            Set.of());
    ServiceSpec service =
        new ServiceSpec(SERVICE, GROUP, Durability.MAJORITY, 1_000, CutOffReads.REFUSE, 1);
    Configuration configuration =
        new Configuration(2, Map.of(GROUP, group), Map.of(SERVICE, service));
    return new ConfigurationSource() {
      @Override
      public Configuration current() {
        return configuration;
      }

      @Override
      public void onChange(Consumer<Configuration> listener) {}
    };
  }

  /** Peers that consist of this proxy only, in the failure domain lekki. */
  private static final class SingleVmPeers implements Peers {
    private static final Vm SELF = new Vm("vm-a", Vm.Kind.ENTRY, "lekki", "127.0.0.1:9", false);

    @Override
    public Vm self() {
      return SELF;
    }

    @Override
    public List<Vm> live() {
      return List.of(SELF);
    }

    @Override
    public Optional<Vm> find(String name) {
      return Optional.of(SELF);
    }

    @Override
    public boolean isLeaving(String target) {
      return false;
    }

    @Override
    public void recordTargetLeaving(String target, boolean leaving) {}
  }

  IdempotencyKey key() {
    return new IdempotencyKey("018bcfe5-6800-7000-8000-000000000001", clock.wallMs());
  }

  StatementCall write(Optional<IdempotencyKey> key) {
    return new StatementCall(
        SERVICE,
        "append orders 1 {}",
        Access.WRITE,
        false,
        key,
        SessionToken.newSession(),
        Optional.empty(),
        TIMEOUT_MS);
  }

  StatementCall read(SessionToken session, Optional<Long> maxAgeMs) {
    return new StatementCall(
        SERVICE,
        "get orders 1",
        Access.READ,
        false,
        Optional.empty(),
        session,
        maxAgeMs,
        TIMEOUT_MS);
  }

  static Result<HolderAnswer> answered(String target, LogPosition position, GroupView view) {
    return Result.success(
        new HolderAnswer(List.of("row"), position, false, target, Optional.of(5L), 0, view));
  }

  static <T> Result<T> fault(ResultCode code) {
    return Result.failure(code, "scripted");
  }

  static Result<KeyAnswer> state(KeyAnswer.State state) {
    return Result.success(new KeyAnswer(state, List.of("old"), new LogPosition(2, 3)));
  }

  /** Returns a function that returns each result once and repeats the last one. */
  @SafeVarargs
  static Function<HolderStatement, Result<HolderAnswer>> script(Result<HolderAnswer>... results) {
    Deque<Result<HolderAnswer>> remaining = new ArrayDeque<>(Arrays.asList(results));
    return statement -> remaining.size() > 1 ? remaining.removeFirst() : remaining.getFirst();
  }
}
