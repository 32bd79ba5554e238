package io.lycheejunction.proxy.membership;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.core.configuration.ConfigurationSource;
import io.lycheejunction.core.configuration.GroupSpec;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.membership.Heartbeat;
import io.lycheejunction.core.membership.Member;
import io.lycheejunction.core.membership.MembershipEvent;
import io.lycheejunction.core.membership.MembershipState;
import io.lycheejunction.core.port.Peers;
import io.lycheejunction.core.port.Vm;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** The proxies and leaving targets known to this proxy; thread-safe. */
public final class Membership implements Peers {
  private final RuntimeClock clock;
  private final ConfigurationSource configuration;
  private final RandomGenerator random;
  private volatile MembershipState state;

  /**
   * Creates a membership that knows only this proxy.
   *
   * @param self this proxy's entry VM
   * @param configuration the configuration in force, which names the drained targets
   * @param clock the runtime clock
   * @param random a seeded random source that nothing else uses, guarded by the lock of this object
   */
  public Membership(
      Vm self, ConfigurationSource configuration, RuntimeClock clock, RandomGenerator random) {
    this.state = MembershipState.of(self);
    this.configuration = Objects.requireNonNull(configuration, "configuration is null");
    this.clock = Objects.requireNonNull(clock, "clock is null");
    this.random = Objects.requireNonNull(random, "random is null");
  }

  @Override
  public Vm self() {
    return state.self();
  }

  @Override
  public List<Vm> live() {
    return state.live(clock.monotonicMs());
  }

  @Override
  public Optional<Vm> find(String name) {
    return state.find(name);
  }

  @Override
  public boolean isLeaving(String target) {
    Optional<GroupSpec> group = configuration.current().groupOfTarget(target);
    String address = group.flatMap(g -> g.target(target)).map(TargetSpec::address).orElse("");
    return group.map(g -> g.drained().contains(target)).orElse(false)
        || state.leavingTargets().isLeaving(target, address, clock.monotonicMs());
  }

  @Override
  public void recordTargetLeaving(String target, boolean leaving) {
    apply(new MembershipEvent.TargetAnnouncement(target, leaving));
  }

  /**
   * Applies an event to the state.
   *
   * @param event the event
   */
  public synchronized void apply(MembershipEvent event) {
    state = state.step(event, clock.monotonicMs());
  }

  /**
   * Returns the proxies to exchange heartbeats with.
   *
   * @return the VMs, ordered by name
   */
  List<Vm> heartbeatPeers() {
    return state.heartbeatPeers();
  }

  /**
   * Returns a heartbeat to another proxy.
   *
   * @param recipient the name of its VM; empty if not known
   * @return the heartbeat
   */
  synchronized Heartbeat heartbeatTo(String recipient) {
    return state.heartbeatTo(
        recipient, configuration.current().version(), random, clock.monotonicMs());
  }

  /**
   * Returns the other known proxies.
   *
   * @return the members by VM name
   */
  public Map<String, Member> members() {
    return state.members();
  }

  /**
   * Returns the number of live proxies, including this one.
   *
   * @return the number, at least 1
   */
  public int fleetSize() {
    return Math.max(1, live().size());
  }

  /**
   * Returns a random interval between 0.5 and 1.5 times the mean. The jitter keeps proxies that
   * start together from sending at the same times.
   *
   * @param meanMs the mean, in milliseconds
   * @return the interval in milliseconds
   */
  public long jitteredMs(long meanMs) {
    return meanMs / 2 + nextInt(Math.toIntExact(meanMs));
  }

  /**
   * Returns a random number from 0 to the bound.
   *
   * @param bound the exclusive upper bound
   * @return the number
   */
  synchronized int nextInt(int bound) {
    return random.nextInt(bound);
  }
}
