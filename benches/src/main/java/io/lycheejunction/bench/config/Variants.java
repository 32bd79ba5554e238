package io.lycheejunction.bench.config;

import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.core.result.ResultCode;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Predicate;

/** Submits configuration changes with and without faults and measures when they are in force. */
final class Variants {
  /** The longest wait until a change is in force. */
  static final long IN_FORCE_TIMEOUT_MS = 20_000;

  private static final String CUT_DOMAIN = ConfigFleet.DOMAINS.getLast();
  private static final long ISOLATION_EXTRA_MS = 2_000;
  private static final Predicate<ConfigNode> ALL_NODES = node -> true;

  private final ConfigFleet fleet;
  private int round;
  private int unexpectedOutcomes;

  Variants(ConfigFleet fleet) {
    this.fleet = fleet;
  }

  /** Returns the number of changes whose reply or resulting version was not the expected one. */
  int unexpectedOutcomes() {
    return unexpectedOutcomes;
  }

  /** Returns the time from the acceptance of a change until it is in force on all proxies. */
  OptionalLong withoutFault() throws InterruptedException {
    return fleet.inForceMs(submitChange(), ALL_NODES, IN_FORCE_TIMEOUT_MS);
  }

  /**
   * Returns the time from acceptance until a change is in force on all proxies while one failure
   * domain cannot reach the platform and gets the change from peers only.
   */
  OptionalLong domainCutFromPlatform() throws InterruptedException {
    fleet.injectFault(new FaultMessage.CutPlatform(CUT_DOMAIN));
    try {
      return fleet.inForceMs(submitChange(), ALL_NODES, IN_FORCE_TIMEOUT_MS);
    } finally {
      fleet.injectFault(new FaultMessage.HealPlatform(CUT_DOMAIN));
    }
  }

  /**
   * Returns the time from acceptance until a change is in force on all proxies while the table is
   * down and only peers pass the change on.
   */
  OptionalLong tableDownAfterAcceptance() throws InterruptedException {
    long version = submitChange();
    fleet.injectFault(new FaultMessage.TableDown(true));
    try {
      return fleet.inForceMs(version, ALL_NODES, IN_FORCE_TIMEOUT_MS);
    } finally {
      fleet.injectFault(new FaultMessage.TableDown(false));
    }
  }

  /**
   * Returns the time from acceptance until a change is in force in the other failure domains while
   * one is isolated from them and from the platform.
   *
   * @param afterHeal receives the time from the end of the isolation until the change is in force
   *     on all proxies
   */
  OptionalLong domainIsolated(Samples afterHeal) throws InterruptedException {
    isolateDomain();
    OptionalLong reachableMs;
    long version;
    try {
      version = submitChange();
      reachableMs =
          fleet.inForceMs(version, node -> !node.domain().equals(CUT_DOMAIN), IN_FORCE_TIMEOUT_MS);
      fleet.sleepMs(ISOLATION_EXTRA_MS);
    } finally {
      fleet.injectFault(new FaultMessage.HealAll());
    }
    afterHeal.add(fleet.inForceMs(version, ALL_NODES, IN_FORCE_TIMEOUT_MS));
    return reachableMs;
  }

  private void isolateDomain() {
    fleet.injectFault(new FaultMessage.CutPlatform(CUT_DOMAIN));
    ConfigFleet.DOMAINS.stream()
        .filter(domain -> !domain.equals(CUT_DOMAIN))
        .forEach(domain -> fleet.injectFault(new FaultMessage.Cut(domain, CUT_DOMAIN)));
  }

  /**
   * Returns the time until a change is in force that was rejected while the table was down and
   * accepted when sent again with the same id.
   *
   * <p>The first reply must say that the change was not made, and the second must report exactly
   * the next version. The time starts at the second reply.
   */
  OptionalLong tableDownAtSubmission() throws InterruptedException {
    ConfigNode node = nextSubmissionNode();
    long versionBefore = node.version();
    String command = fleet.nextChange();
    Optional<String> changeId = Optional.of("down-" + round);
    fleet.injectFault(new FaultMessage.TableDown(true));
    OperatorReply rejected = fleet.run(node, command, changeId);
    fleet.injectFault(new FaultMessage.TableDown(false));
    OperatorReply retried = fleet.run(node, command, changeId);
    boolean notRun = rejected.code() == ResultCode.STORE_UNAVAILABLE.number();
    if (!notRun || !retried.version().equals(Optional.of(versionBefore + 1))) {
      unexpectedOutcomes++;
      return OptionalLong.empty();
    }
    return fleet.inForceMs(versionBefore + 1, ALL_NODES, IN_FORCE_TIMEOUT_MS);
  }

  /**
   * Returns the time until a change is in force for which the platform's replies were lost.
   *
   * <p>The reply must say that the outcome is unknown, and a query by the change id must then
   * report a version. The time starts at the reply to that query.
   *
   * @param replies the number of replies that the platform drops
   */
  OptionalLong repliesLost(int replies) throws InterruptedException {
    ConfigNode node = nextSubmissionNode();
    Optional<String> changeId = Optional.of("lost-" + round);
    fleet.injectFault(new FaultMessage.LoseReplies(replies));
    OperatorReply unknown = fleet.run(node, fleet.nextChange(), changeId);
    OperatorReply queried = fleet.run(node, "show change " + changeId.get(), Optional.empty());
    boolean isOutcomeUnknown = unknown.code() == ResultCode.STORE_UNKNOWN.number();
    if (!isOutcomeUnknown || queried.version().isEmpty()) {
      unexpectedOutcomes++;
      return OptionalLong.empty();
    }
    return fleet.inForceMs(queried.version().get(), ALL_NODES, IN_FORCE_TIMEOUT_MS);
  }

  /** Submits a change to a proxy outside the cut domain and returns its version. */
  private long submitChange() {
    OperatorReply reply = fleet.run(nextSubmissionNode(), fleet.nextChange(), Optional.empty());
    if (!ConfigFleet.isAccepted(reply)) {
      throw new IllegalStateException(
          "the change was not accepted: " + reply.name() + " " + reply.text());
    }
    return reply.version().orElseThrow();
  }

  private ConfigNode nextSubmissionNode() {
    round++;
    int size = fleet.nodes.size();
    for (int i = 0; i < size; i++) {
      ConfigNode node = fleet.nodes.get((round * 7 + i) % size);
      if (!node.domain().equals(CUT_DOMAIN)) {
        return node;
      }
    }
    throw new IllegalStateException(
        "no proxy of the fleet is outside failure domain " + CUT_DOMAIN);
  }
}
