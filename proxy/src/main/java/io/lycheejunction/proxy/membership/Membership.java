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

/** The proxies and leaving targets that this proxy knows, shared by its threads. */
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
   * @param random a seeded source, used by this object only
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
    Optional<GroupSpec> group = configuration.current().groupWith(target);
    String address = group.flatMap(g -> g.target(target)).map(TargetSpec::address).orElse("");
    return group.map(g -> g.drained().contains(target)).orElse(false)
        || state.targets().isLeaving(target, address, clock.monotonicMs());
  }

  @Override
  public void targetSays(String target, boolean leaving) {
    apply(new MembershipEvent.TargetWord(target, leaving));
  }

  /**
   * Applies an event.
   *
   * @param event the event
   */
  public synchronized void apply(MembershipEvent event) {
    state = state.step(event, clock.monotonicMs());
  }

  /**
   * Returns the proxies that may be sent heartbeats.
   *
   * @return the VMs, ordered by name
   */
  List<Vm> partners() {
    return state.partners();
  }

  /**
   * Returns a message to another proxy.
   *
   * @param recipient the name of its VM; empty if it is not known
   * @return the message
   */
  synchronized Heartbeat heartbeatTo(String recipient) {
    return state.heartbeatTo(
        recipient, configuration.current().version(), random, clock.monotonicMs());
  }

  /**
   * Returns what is known of the other proxies.
   *
   * @return the members by the name of their VM
   */
  public Map<String, Member> members() {
    return state.members();
  }

  /**
   * Returns the number of proxies that take part, this one among them.
   *
   * @return the number, at least 1
   */
  public int fleetSize() {
    return Math.max(1, live().size());
  }

  /**
   * Returns an interval drawn between half and one and a half times the mean, so that proxies which
   * start together do not stay in step.
   *
   * @param meanMs the mean, in milliseconds
   * @return the interval in milliseconds
   */
  public long spreadMs(long meanMs) {
    return meanMs / 2 + draw(Math.toIntExact(meanMs));
  }

  /**
   * Returns a number below the given one.
   *
   * @param bound the bound
   * @return the number, at least 0
   */
  synchronized int draw(int bound) {
    return random.nextInt(bound);
  }
}
