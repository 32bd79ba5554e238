package io.lycheejunction.proxy.matrix;

import java.util.List;
import java.util.Set;
import java.util.function.Consumer;

/** What callers, operators and the platform do while a fault strikes. */
enum Scenario {
  SINGLE_WRITE("single write", Set.of(), fleet -> new Caller(fleet, "c1").write("b")),
  KEYED_WRITE("keyed write, retried", Set.of(), Scenario::keyedWrite),
  TRANSACTION("transaction", Set.of(), Scenario::transaction),
  READ_WITH_TOKEN("read with token", Set.of(), Scenario::readWithToken),
  READ_WITH_AGE("read with age", Set.of(), Scenario::readWithAge),
  ROAMING_READ("read after roaming", Set.of(), Scenario::roam),
  FAILOVER(
      "failover",
      Set.of("fence", "promote", "/peer/prevote", "/peer/group-view"),
      Scenario::failover),
  FAILING_WRITE("write while its primary fails", Set.of("fence"), Scenario::failingWrite),
  RETURNING_PRIMARY(
      "primary back before its successor", Set.of("fence", "promote"), Scenario::returningPrimary),
  CUT_OFF_READ("read at a cut-off primary", Set.of("fence", "promote"), Scenario::cutOffRead),
  CONFIGURATION_CHANGE(
      "configuration change", Set.of("scan", "putIfAbsent"), Scenario::configurationChange),
  SHUTDOWN("shutdown", Set.of(), Scenario::shutdown),
  MEMBERSHIP_CHANGE(
      "membership change", Set.of("fence", "promote", "listVms"), Scenario::membershipChange);

  private static final long AGE_MS = 1_000;
  private static final long LONG_AGE_MS = 8_000;

  private final String title;
  private final Set<String> background;
  private final Consumer<Fleet> script;

  Scenario(String title, Set<String> background, Consumer<Fleet> script) {
    this.title = title;
    this.background = background;
    this.script = script;
  }

  String title() {
    return title;
  }

  void play(Fleet fleet) {
    fleet.steps.record(background);
    script.accept(fleet);
    fleet.steps.stop();
  }

  private static void keyedWrite(Fleet fleet) {
    new Caller(fleet, "c1").keyed(List.of("b", "c", "b"));
  }

  private static void transaction(Fleet fleet) {
    Caller first = new Caller(fleet, "c1");
    Caller second = new Caller(fleet, "c2");
    Caller.Transaction one = first.begin("b").statement("b");
    Caller.Transaction two = second.begin("c").statement("c");
    new Caller(fleet, "c3").write("b");
    one.statement("b").commit("b", true);
    two.commit("c", false);
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
    caller.read("c", AGE_MS);
    caller.read("b", AGE_MS);
  }

  private static void roam(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    caller.read("b", null);
    caller.write("b");
    caller.read("c", AGE_MS);
    caller.read("a", null);
  }

  private static void failover(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.crashPrimary();
    fleet.run(1_500);
    caller.keyed(List.of("b", "c"));
    caller.write("c");
    caller.read("b", null);
  }

  /** The primary crashes after it has sent a write to the replicas and before it is answered. */
  private static void failingWrite(Fleet fleet) {
    fleet.clock.afterMs(4, fleet::crashPrimary);
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.run(1_000);
    caller.write("b");
    caller.read("c", null);
  }

  /** The crashed primary comes back, cut from the claimant, while that waits out the lease. */
  private static void returningPrimary(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.group.faults().replicaLag("t-c", 300);
    fleet.links.cut("a", "b");
    fleet.clock.afterMs(20, () -> fleet.group.faults().crash("t-a"));
    fleet.clock.afterMs(25, () -> restartOnceFenced(fleet));
    caller.write("a");
    caller.write("c");
    caller.read("c", null);
  }

  private static void restartOnceFenced(Fleet fleet) {
    if (fleet.isClaimed()) {
      fleet.group.faults().restart("t-a");
    } else {
      fleet.clock.afterMs(5, () -> restartOnceFenced(fleet));
    }
  }

  /** The cut-off primary has writes that no majority has when the caller roams to it. */
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
    fleet.run(1_500);
    caller.write("b");
    caller.read("a", LONG_AGE_MS);
    caller.read("c", AGE_MS);
  }

  private static void configurationChange(Fleet fleet) {
    fleet.submit(fleet.node("b"), "change-1", History.weight(7));
    fleet.run(300);
    fleet.submit(fleet.node("c"), "change-2", History.weight(8));
    fleet.run(300);
  }

  /** The holder of the primary shuts down; an open transaction goes on after a second. */
  private static void shutdown(Fleet fleet) {
    Caller first = new Caller(fleet, "c1");
    Caller.Transaction open = first.begin("b").statement("b");
    fleet.clock.afterMs(200, () -> new Caller(fleet, "c2").write("c"));
    fleet.clock.afterMs(1_000, () -> finish(fleet, open));
    Node leaving = fleet.node("a");
    leaving.ask(
        () -> {
          leaving.shutDown();
          return true;
        });
    fleet.replace("a");
    new Caller(fleet, "c3").keyed(List.of("b"));
    first.read("c", null);
  }

  private static void finish(Fleet fleet, Caller.Transaction open) {
    boolean isDone = open.statement("b").commit("b", true);
    fleet.history.check(isDone || fleet.steps.hasStrikes(), "a shutdown cut off a transaction");
  }

  private static void membershipChange(Fleet fleet) {
    Caller caller = new Caller(fleet, "c1");
    caller.write("a");
    fleet.leave("t-a");
    fleet.replace("c");
    for (int i = 0; i < 5; i++) {
      fleet.run(1_000);
      caller.keyed(List.of("b", "c"));
    }
    caller.read("c", null);
  }
}
