package io.lycheejunction.bench.config;

import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/** The ways in which one change is brought in force on a fleet, without and with faults. */
final class Variants {
  /** The longest wait for one change, in milliseconds. */
  static final long LIMIT_MS = 20_000;

  private static final String CUT_DOMAIN = ConfigFleet.DOMAINS.getLast();
  private static final long CUT_MS = 2_000;
  private static final Predicate<ConfigNode> ALL = node -> true;

  private final ConfigFleet fleet;
  private int round;
  private int unsettled;

  Variants(ConfigFleet fleet) {
    this.fleet = fleet;
  }

  /** Returns the number of changes whose fate was not as it must be. */
  int unsettled() {
    return unsettled;
  }

  /** Returns the time from accepted to in force everywhere. */
  OptionalLong plain() throws InterruptedException {
    return fleet.inForceMs(accepted(), ALL, LIMIT_MS);
  }

  /** Returns the time until peers have brought the change to a domain cut from the platform. */
  OptionalLong domainCutFromPlatform() throws InterruptedException {
    fleet.fault(new FaultMessage.CutPlatform(CUT_DOMAIN));
    try {
      return fleet.inForceMs(accepted(), ALL, LIMIT_MS);
    } finally {
      fleet.fault(new FaultMessage.HealPlatform(CUT_DOMAIN));
    }
  }

  /** Returns the time until peers have brought the change everywhere while the table is down. */
  OptionalLong downAfterAcceptance() throws InterruptedException {
    long version = accepted();
    fleet.fault(new FaultMessage.TableDown(true));
    try {
      return fleet.inForceMs(version, ALL, LIMIT_MS);
    } finally {
      fleet.fault(new FaultMessage.TableDown(false));
    }
  }

  /**
   * Returns the time in the reachable domains while one is cut from all others and the platform.
   *
   * @param healed receives the time from the end of the cut to in force everywhere
   */
  OptionalLong domainCut(Samples healed) throws InterruptedException {
    cutOff();
    OptionalLong reachableMs;
    long version;
    try {
      version = accepted();
      reachableMs = fleet.inForceMs(version, node -> !node.domain().equals(CUT_DOMAIN), LIMIT_MS);
      fleet.sleepMs(CUT_MS);
    } finally {
      fleet.fault(new FaultMessage.HealAll());
    }
    healed.add(fleet.inForceMs(version, ALL, LIMIT_MS));
    return reachableMs;
  }

  private void cutOff() {
    fleet.fault(new FaultMessage.CutPlatform(CUT_DOMAIN));
    ConfigFleet.DOMAINS.stream()
        .filter(domain -> !domain.equals(CUT_DOMAIN))
        .forEach(domain -> fleet.fault(new FaultMessage.Cut(domain, CUT_DOMAIN)));
  }

  /**
   * Returns the time from the settlement of a change that was refused while the table was down.
   *
   * <p>The refusal must be not run, and the change sent again must lead to exactly the next
   * version.
   */
  OptionalLong downAtAcceptance() throws InterruptedException {
    ConfigNode node = acceptor();
    long before = node.version();
    String command = fleet.nextChange();
    Optional<String> id = Optional.of("down-" + round);
    fleet.fault(new FaultMessage.TableDown(true));
    OperatorReply refused = fleet.run(node, command, id);
    fleet.fault(new FaultMessage.TableDown(false));
    OperatorReply again = fleet.run(node, command, id);
    boolean notRun = refused.code() == ResultCode.STORE_UNAVAILABLE.number();
    if (!notRun || !again.version().equals(Optional.of(before + 1))) {
      unsettled++;
      return OptionalLong.empty();
    }
    return fleet.inForceMs(before + 1, ALL, LIMIT_MS);
  }

  /**
   * Returns the time from the settlement of a change whose replies were all lost.
   *
   * <p>The answer must be unknown, and the change's identifier must then lead to one version.
   */
  OptionalLong repliesLost(int replies) throws InterruptedException {
    ConfigNode node = acceptor();
    Optional<String> id = Optional.of("lost-" + round);
    fleet.fault(new FaultMessage.LoseReplies(replies));
    OperatorReply unknown = fleet.run(node, fleet.nextChange(), id);
    OperatorReply settled = fleet.run(node, "show change " + id.get(), Optional.empty());
    boolean isUnknown = unknown.code() == ResultCode.STORE_UNKNOWN.number();
    if (!isUnknown || settled.version().isEmpty()) {
      unsettled++;
      return OptionalLong.empty();
    }
    return fleet.inForceMs(settled.version().get(), ALL, LIMIT_MS);
  }

  /** Returns the version of a change that a proxy outside the cut domain accepted. */
  private long accepted() {
    OperatorReply reply = fleet.run(acceptor(), fleet.nextChange(), Optional.empty());
    if (!ConfigFleet.isAccepted(reply)) {
      throw new IllegalStateException(reply.name() + " " + reply.text());
    }
    return reply.version().orElseThrow();
  }

  private ConfigNode acceptor() {
    round++;
    int size = fleet.nodes.size();
    for (int i = 0; i < size; i++) {
      ConfigNode node = fleet.nodes.get((round * 7 + i) % size);
      if (!node.domain().equals(CUT_DOMAIN)) {
        return node;
      }
    }
    throw new IllegalStateException("no proxy outside " + CUT_DOMAIN);
  }
}
