package io.lycheejunction.proxy.matrix;

import io.lycheejunction.proxy.group.GroupSettings;

/** The safety rules, each of which a fleet may leave out between a proxy and its ports. */
enum SafetyRule {
  ALL_ON("none", Scenario.SINGLE_WRITE, FaultKind.PRIMARY_CRASHED),
  MAJORITY_ACKNOWLEDGEMENT(
      "majority acknowledgement", Scenario.SINGLE_WRITE, FaultKind.PRIMARY_CRASHED),
  ACKNOWLEDGEMENT_LEASE("acknowledgement lease", Scenario.CUT_OFF_READ, FaultKind.PRIMARY_CUT_OFF),
  TERM_FENCE("term fence", Scenario.RETURNING_PRIMARY, FaultKind.PLATFORM_CUT),
  TERM_FIRST("term-first token compare", Scenario.CUT_OFF_READ, FaultKind.REPLICA_FAR_BEHIND),
  TERM_FIRST_AND_SHARED(
      "term-first token compare, and the majority check of what a read shows",
      Scenario.CUT_OFF_READ,
      FaultKind.REPLICA_FAR_BEHIND),
  TRANSACTION_KEY("in-transaction key", Scenario.KEYED_WRITE, FaultKind.ANSWER_LOST),
  CANCEL_ROW("cancel row", Scenario.TRANSACTION, FaultKind.ANSWER_LATE),
  PINNED_CONNECTION("pinned connection", Scenario.TRANSACTION, FaultKind.ANSWER_LOST);

  private static final long ENDLESS_MS = 60_000;

  private final String title;
  private final Scenario scenario;
  private final FaultKind fault;

  SafetyRule(String title, Scenario scenario, FaultKind fault) {
    this.title = title;
    this.scenario = scenario;
    this.fault = fault;
  }

  /** Returns the scenario that is run under every fault without the rule. */
  Scenario scenario() {
    return scenario;
  }

  /** Returns the fault that is run at every boundary of that scenario without the rule. */
  FaultKind fault() {
    return fault;
  }

  String title() {
    return title;
  }

  /** Returns the settings of a proxy; without the lease, its holder counts any as whole. */
  GroupSettings groupSettings(boolean holdsPrimary) {
    GroupSettings standard = GroupSettings.standard();
    return this == ACKNOWLEDGEMENT_LEASE && holdsPrimary
        ? new GroupSettings(
            ENDLESS_MS,
            standard.clockMarginMs(),
            standard.probeTimeoutMs(),
            standard.claimTimeoutMs(),
            standard.budget())
        : standard;
  }

  boolean comparesOffsetsOnly() {
    return this == TERM_FIRST || this == TERM_FIRST_AND_SHARED;
  }
}
