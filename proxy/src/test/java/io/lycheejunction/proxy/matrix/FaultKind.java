package io.lycheejunction.proxy.matrix;

import io.lycheejunction.standin.model.FaultInjector.Injected;
import java.util.Set;
import java.util.function.Consumer;

/** The faults of the matrix, each striking at a boundary of a call. */
enum FaultKind {
  PRIMARY_CUT_OFF("primary cut off and still believing", Fleet::cutOffPrimary),
  PRIMARY_CRASHED("primary crashed", Fleet::crashPrimary),
  REPLICA_FAR_BEHIND("replica far behind", fleet -> fleet.lagReplicas(1, 3_000)),
  REPLICAS_LAGGING("both replicas lagging", fleet -> fleet.lagReplicas(2, 700)),
  PROXY_DIED("proxy died", Fleet::killRunning),
  PROXY_PAUSED("proxy paused past a lease", Fleet::pauseRunning),
  TABLE_DOWN("table down", fleet -> fleet.platform.setDown(true)),
  TABLE_SLOW("table slow", fleet -> fleet.platform.setSlowMs(800)),
  TABLE_REPLY_LOST("table reply lost after its effect", fleet -> fleet.platform.loseReplies(2)),
  ANSWER_LOST("answer lost", fleet -> {}),
  ANSWER_LATE("answer late", fleet -> {}),
  ANSWER_DUPLICATED("answer duplicated", fleet -> {}),
  TWO_CLAIMANTS("two claimants or two operators", Fleet::rival),
  DOMAIN_CUT("domain cut from the others", Fleet::cutOffReplicaDomain),
  PLATFORM_CUT("domain cut from the platform", Fleet::cutPlatform);

  private static final Set<String> STATEMENTS =
      Set.of("execute", "begin", "open", "/peer/execute", "/peer/begin", "/peer/step");
  private static final long LATE_MS = 400;

  private final String title;
  private final Consumer<Fleet> effect;

  FaultKind(String title, Consumer<Fleet> effect) {
    this.title = title;
    this.effect = effect;
  }

  String title() {
    return title;
  }

  /** Returns what happens to the call at whose boundary the fault strikes. */
  Injected inject(Fleet fleet, String operation, Steps.Side side) {
    boolean isBefore = side == Steps.Side.BEFORE_EFFECT;
    return switch (this) {
      case ANSWER_LOST -> isBefore ? new Injected.LoseRequest() : new Injected.LoseReply();
      case ANSWER_LATE ->
          operation.startsWith("/peer")
              ? new Injected.Delay(LATE_MS)
              : new Injected.Run(() -> fleet.run(LATE_MS));
      case ANSWER_DUPLICATED -> isBefore ? new Injected.Duplicate() : Injected.PASS;
      default -> new Injected.Run(() -> effect.accept(fleet));
    };
  }

  /**
   * Returns whether the fault can strike at a boundary.
   *
   * <p>A port gives one reply to each call. A duplicate is therefore a call that is carried out
   * twice, which no transport does to a statement without a key.
   */
  boolean strikesAt(String operation, Steps.Side side, Scenario scenario) {
    if (this != ANSWER_DUPLICATED) {
      return true;
    }
    boolean hasKey = scenario == Scenario.KEYED_WRITE;
    return side == Steps.Side.BEFORE_EFFECT && (hasKey || !STATEMENTS.contains(operation));
  }
}
