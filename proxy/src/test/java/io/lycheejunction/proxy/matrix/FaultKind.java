package io.lycheejunction.proxy.matrix;

import io.lycheejunction.standin.model.FaultInjector.FaultAction;
import java.util.Set;
import java.util.function.Consumer;

/** The faults of the matrix, each of which is injected at a boundary of a call. */
enum FaultKind {
  PRIMARY_CUT_OFF("primary cut off, still acting as primary", Fleet::cutOffPrimary),
  PRIMARY_CRASHED("primary crashed", Fleet::crashPrimary),
  REPLICA_FAR_BEHIND("replica far behind", fleet -> fleet.lagReplicas(1, 3_000)),
  REPLICAS_LAGGING("both replicas lagging", fleet -> fleet.lagReplicas(2, 700)),
  PROXY_DIED("proxy died", Fleet::killRunningProxy),
  PROXY_PAUSED("proxy paused for longer than the acknowledgement lease", Fleet::pauseRunningProxy),
  TABLE_DOWN("platform table down", fleet -> fleet.platform.setDown(true)),
  TABLE_SLOW("platform table slow", fleet -> fleet.platform.setSlowMs(800)),
  TABLE_REPLY_LOST("platform table reply lost after write", fleet -> fleet.platform.loseReplies(2)),
  ANSWER_LOST("answer lost", fleet -> {}),
  ANSWER_LATE("answer late", fleet -> {}),
  ANSWER_DUPLICATED("answer duplicated", fleet -> {}),
  TWO_CLAIMANTS("competing promotion and configuration change", Fleet::submitCompetingChanges),
  DOMAIN_CUT("failure domain cut off from the others", Fleet::cutOffReplicaDomain),
  PLATFORM_CUT("failure domain cut off from the platform", Fleet::cutOffPlatform);

  private static final Set<String> STATEMENT_OPERATIONS =
      Set.of("execute", "begin", "open", "/peer/execute", "/peer/begin", "/peer/step");
  private static final long REPLY_DELAY_MS = 400;

  private final String title;
  private final Consumer<Fleet> effect;

  FaultKind(String title, Consumer<Fleet> effect) {
    this.title = title;
    this.effect = effect;
  }

  String title() {
    return title;
  }

  /** Returns what happens to the call at whose boundary the fault is injected. */
  FaultAction inject(Fleet fleet, String operation, StepFaultInjector.Side side) {
    boolean isBefore = side == StepFaultInjector.Side.BEFORE_EFFECT;
    return switch (this) {
      case ANSWER_LOST -> isBefore ? new FaultAction.LoseRequest() : new FaultAction.LoseReply();
      case ANSWER_LATE ->
          operation.startsWith("/peer")
              ? new FaultAction.Delay(REPLY_DELAY_MS)
              : new FaultAction.Run(() -> fleet.advanceMs(REPLY_DELAY_MS));
      case ANSWER_DUPLICATED -> isBefore ? new FaultAction.Duplicate() : FaultAction.PASS;
      default -> new FaultAction.Run(() -> effect.accept(fleet));
    };
  }

  /**
   * Returns whether the fault can be injected at a boundary.
   *
   * <p>A port returns one reply to each call, so a duplicate answer is modelled as a call that runs
   * twice. No transport runs a statement without an idempotency key twice.
   */
  boolean canOccurAt(String operation, StepFaultInjector.Side side, Scenario scenario) {
    if (this != ANSWER_DUPLICATED) {
      return true;
    }
    boolean hasKey = scenario == Scenario.KEYED_WRITE;
    return side == StepFaultInjector.Side.BEFORE_EFFECT
        && (hasKey || !STATEMENT_OPERATIONS.contains(operation));
  }
}
