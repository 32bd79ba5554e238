package io.lycheejunction.proxy.matrix;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** What callers, operators and the platform do while faults are injected. */
enum Scenario {
  SINGLE_WRITE("single write", Set.of(), fleet -> new Caller(fleet, "c1").write("b")),
  KEYED_WRITE("write with idempotency key, retried", Set.of(), Scenario::keyedWrite),
  TRANSACTION("transaction", Set.of(), Scenario::transaction),
  READ_WITH_TOKEN("read with session token", Set.of(), Scenario::readWithToken),
  READ_WITH_AGE("read with maximum data age", Set.of(), Scenario::readWithAge),
  ROAMING_READ("read through another proxy", Set.of(), Scenario::roamingRead),
  FAILOVER(
      "failover",
      Set.of("fence", "promote", "/peer/prevote", "/peer/group-view"),
      Scenario::failover),
  FAILING_WRITE("write while the primary crashes", Set.of("fence"), Scenario::failingWrite),
  RETURNING_PRIMARY(
      "old primary restarts before promotion",
      Set.of("fence", "promote"),
      Scenario::returningPrimary),
  CUT_OFF_READ("read from a cut-off primary", Set.of("fence", "promote"), Scenario::cutOffRead),
  CONFIGURATION_CHANGE(
      "configuration change", Set.of("scan", "putIfAbsent"), Scenario::configurationChange),
  SHUTDOWN("shutdown", Set.of(), Scenario::shutdown),
  MEMBERSHIP_CHANGE(
      "membership change", Set.of("fence", "promote", "listVms"), Scenario::membershipChange);

  private static final long MAX_AGE_MS = 1_000;
  private static final long LONG_MAX_AGE_MS = 8_000;

  private final String title;
  private final Set<String> backgroundOperations;
  private final Consumer<Fleet> script;

  Scenario(String title, Set<String> backgroundOperations, Consumer<Fleet> script) {
    this.title = title;
    this.backgroundOperations = backgroundOperations;
    this.script = script;
  }

  String title() {
    return title;
  }

  void run(Fleet fleet) {
    fleet.injector.startRecording(backgroundOperations);
    script.accept(fleet);
    fleet.injector.stopRecording();
  }

  private static void keyedWrite(Fleet fleet) {
    new Caller(fleet, "c1").writeWithKey(List.of("b", "c", "b"));
  }

  private static void transaction(Fleet fleet) {
    Caller first = new Caller(fleet, "c1");
    Caller second = new Caller(fleet, "c2");
    Caller.Transaction firstTransaction = first.begin("b").append("b");
    Caller.Transaction secondTransaction = second.begin("c").append("c");
    new Caller(fleet, "c3").write("b");
    firstTransaction.append("b").commit("b", true);
    secondTransaction.commit("c", false);
    first.read("c", null);
  }

  private static void readWithToken(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("b");
    caller.read("b", null);
  }

  private static void readWithAge(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    caller.read("c", MAX_AGE_MS);
    caller.read("b", MAX_AGE_MS);
  }

  private static void roamingRead(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    caller.read("b", null);
    caller.write("b");
    caller.read("c", MAX_AGE_MS);
    caller.read("a", null);
  }

  private static void failover(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.crashPrimary();
    fleet.advanceMs(1_500);
    caller.writeWithKey(List.of("b", "c"));
    caller.write("c");
    caller.read("b", null);
  }

  /** The primary crashes after it has sent a write to the replicas and before it has answered. */
  private static void failingWrite(Fleet fleet) {
    fleet.clock.scheduleAfterMs(4, fleet::crashPrimary);
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.advanceMs(1_000);
    caller.write("b");
    caller.read("c", null);
  }

  /**
   * The crashed primary restarts while the claimant waits for the lease to expire. Its link to the
   * claimant is cut.
   */
  private static void returningPrimary(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.group.faults().setReplicaLagMs("t-c", 300);
    fleet.links.cut("a", "b");
    fleet.clock.scheduleAfterMs(20, () -> fleet.group.faults().crash("t-a"));
    fleet.clock.scheduleAfterMs(25, () -> restartOnceClaimStarts(fleet));
    caller.write("a");
    caller.write("c");
    caller.read("c", null);
  }

  private static void restartOnceClaimStarts(Fleet fleet) {
    if (fleet.isClaimStarted()) {
      fleet.group.faults().restart("t-a");
    } else {
      fleet.clock.scheduleAfterMs(5, () -> restartOnceClaimStarts(fleet));
    }
  }

  /** The caller reads at a cut-off primary that has writes which no majority has received. */
  private static void cutOffRead(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.lagReplicas(2, 2_000);
    Caller other = new Caller(fleet, "c2");
    for (int i = 0; i < 5; i++) {
      other.write("a", 150);
    }
    fleet.cutOffPrimary();
    fleet.lagReplicas(2, 0);
    fleet.advanceMs(1_500);
    caller.write("b");
    caller.read("a", LONG_MAX_AGE_MS);
    caller.read("c", MAX_AGE_MS);
  }

  private static void configurationChange(Fleet fleet) {
    fleet.submit(fleet.node("b"), "change-1", History.weightChange(7));
    fleet.advanceMs(300);
    fleet.submit(fleet.node("c"), "change-2", History.weightChange(8));
    fleet.advanceMs(300);
  }

  /** The proxy that holds the primary shuts down; an open transaction continues after 1 s. */
  private static void shutdown(Fleet fleet) {
    Caller first = new Caller(fleet, "c1");
    Caller.Transaction openTransaction = first.begin("b").append("b");
    fleet.clock.scheduleAfterMs(200, () -> new Caller(fleet, "c2").write("c"));
    fleet.clock.scheduleAfterMs(1_000, () -> finishTransaction(fleet, openTransaction));
    ProxyNode leaving = fleet.node("a");
    leaving.handleRequest(
        () -> {
          leaving.shutDown();
          return true;
        });
    fleet.replaceProxy("a");
    new Caller(fleet, "c3").writeWithKey(List.of("b"));
    first.read("c", null);
  }

  private static void finishTransaction(Fleet fleet, Caller.Transaction openTransaction) {
    boolean isCommitted = openTransaction.append("b").commit("b", true);
    fleet.history.check(
        isCommitted || fleet.injector.hasPlannedFaults(), "a shutdown cut off a transaction");
  }

  private static void membershipChange(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.markLeaving("t-a");
    fleet.replaceProxy("c");
    for (int i = 0; i < 5; i++) {
      fleet.advanceMs(1_000);
      caller.writeWithKey(List.of("b", "c"));
    }
    caller.read("c", null);
  }
}
