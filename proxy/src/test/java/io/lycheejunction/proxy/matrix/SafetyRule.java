package io.lycheejunction.proxy.matrix;

import io.lycheejunction.proxy.group.GroupSettings;

/**
 * The safety rules of the proxy. A fleet can omit one of them with decorators between the proxies
 * and their ports, to show that the matrix detects its absence.
 */
enum SafetyRule {
  ALL_ON("none", Scenario.SINGLE_WRITE, FaultKind.PRIMARY_CRASHED),
  MAJORITY_ACKNOWLEDGEMENT(
      "majority acknowledgement", Scenario.SINGLE_WRITE, FaultKind.PRIMARY_CRASHED),
  ACKNOWLEDGEMENT_LEASE("acknowledgement lease", Scenario.CUT_OFF_READ, FaultKind.PRIMARY_CUT_OFF),
  TERM_FENCE("term fencing", Scenario.RETURNING_PRIMARY, FaultKind.PLATFORM_CUT),
  TERM_FIRST("term-first token comparison", Scenario.CUT_OFF_READ, FaultKind.REPLICA_FAR_BEHIND),
  TERM_FIRST_AND_SHARED(
      "term-first token comparison and majority check of the position that a read shows",
      Scenario.CUT_OFF_READ,
      FaultKind.REPLICA_FAR_BEHIND),
  TRANSACTION_KEY(
      "idempotency key in the transaction of the write",
      Scenario.KEYED_WRITE,
      FaultKind.ANSWER_LOST),
  CANCEL_ROW("cancel row for an idempotency key", Scenario.TRANSACTION, FaultKind.ANSWER_LATE),
  PINNED_CONNECTION(
      "connection pinned to its transaction", Scenario.TRANSACTION, FaultKind.ANSWER_LOST);

  private static final long UNLIMITED_LEASE_MS = 60_000;

  private final String title;
  private final Scenario scenario;
  private final FaultKind fault;

  SafetyRule(String title, Scenario scenario, FaultKind fault) {
    this.title = title;
    this.scenario = scenario;
    this.fault = fault;
  }

  /** Returns the scenario that runs under every fault while the rule is omitted. */
  Scenario scenario() {
    return scenario;
  }

  /** Returns the fault that is injected at every boundary of that scenario. */
  FaultKind fault() {
    return fault;
  }

  String title() {
    return title;
  }

  /**
   * Returns the group settings of a proxy. When the acknowledgement lease is omitted, the proxy
   * that holds the first primary treats any majority confirmation as valid for 60 s.
   */
  GroupSettings groupSettings(boolean holdsPrimary) {
    GroupSettings defaults = GroupSettings.standard();
    return this == ACKNOWLEDGEMENT_LEASE && holdsPrimary
        ? new GroupSettings(
            UNLIMITED_LEASE_MS,
            defaults.clockMarginMs(),
            defaults.probeTimeoutMs(),
            defaults.claimTimeoutMs(),
            defaults.budget())
        : defaults;
  }

  boolean comparesOffsetsOnly() {
    return this == TERM_FIRST || this == TERM_FIRST_AND_SHARED;
  }
}
