package io.lycheejunction.proxy.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.common.operator.OperatorReply;
import io.lycheejunction.core.configuration.ChangeRow;
import io.lycheejunction.core.port.PlatformTable.Row;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.proxy.configuration.AppliedLog;
import io.lycheejunction.proxy.configuration.ConfigurationLog;
import io.lycheejunction.proxy.configuration.LogRow;
import io.lycheejunction.standin.model.FaultInjector;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost, duplicated or half-applied configuration changes when operators race,
 * replies are lost, the platform or the network fails, proxies restart and rows of the log are
 * malformed.
 */
class ConfigurationFaultsTest {
  private static final int MAX_RELAY_ROUNDS = 4;

  private final BeforePutActions faults = new BeforePutActions();
  private final Fleet fleet = Fleet.of(faults);

  /** Runs each queued action before one conditional put to the table. */
  private static final class BeforePutActions implements FaultInjector {
    private final Deque<Runnable> beforePut = new ArrayDeque<>();

    @Override
    public FaultAction before(Call call) {
      Runnable next = call.operation().equals("putIfAbsent") ? beforePut.poll() : null;
      return next == null ? FaultAction.PASS : new FaultAction.Run(next);
    }

    @Override
    public FaultAction after(Call call) {
      return FaultAction.PASS;
    }
  }

  private Fleet.Node node(String name) {
    return fleet.node(name);
  }

  private static void assertCode(ResultCode code, OperatorReply reply) {
    assertEquals(code.name(), reply.name(), reply.text());
  }

  private void createGroup() {
    assertCode(ResultCode.DONE, node("vm-a").run(Fleet.CREATE_GROUP));
    fleet.round();
    assertEquals(List.of(1L, 1L, 1L), fleet.versions());
  }

  private void appendRow(String text) {
    fleet.platform.putIfAbsent(
        ConfigurationLog.TABLE, new Row(ChangeRow.key(fleet.rows() + 1), text));
  }

  @Nested
  class Races {
    @Test
    void shouldRefuseSecondChangeWhenFirstMadeItInvalid() {
      faults.beforePut.add(() -> assertCode(ResultCode.DONE, node("vm-b").run(Fleet.CREATE_GROUP)));
      assertCode(ResultCode.INVALID_CHANGE, node("vm-a").run(Fleet.CREATE_GROUP));
      assertEquals(1, fleet.rows());
    }

    @Test
    void shouldAcceptBothChangesWhenTheyDoNotConflict() {
      createGroup();
      faults.beforePut.add(() -> assertCode(ResultCode.DONE, node("vm-b").run("drain target a2")));
      assertEquals(Optional.of(3L), node("vm-a").run("drain target a1").version());
    }

    @Test
    void shouldRefuseSecondChangeWhenItRequiresAnOlderVersion() {
      createGroup();
      faults.beforePut.add(() -> assertCode(ResultCode.DONE, node("vm-b").run("drain target a2")));
      assertCode(ResultCode.VERSION_CONFLICT, node("vm-a").run("drain target a1 if version 1"));
      assertEquals(2, fleet.rows());
    }

    @Test
    void shouldRefuseChangeWhenItsProxyLagsAndItRequiresAnOldVersion() {
      createGroup();
      assertCode(ResultCode.DONE, node("vm-b").run("drain target a2"));
      assertEquals(1, node("vm-a").version());
      assertCode(ResultCode.VERSION_CONFLICT, node("vm-a").run("undrain target a2 if version 1"));
      assertCode(ResultCode.DONE, node("vm-a").run("undrain target a2 if version 2"));
    }
  }

  @Nested
  class LostReplies {
    @Test
    void shouldAcceptOnceWhenReplyIsLostAfterEffect() {
      fleet.platform.loseReplies(1);
      assertEquals(Optional.of(1L), node("vm-a").run(Fleet.CREATE_GROUP).version());
      assertEquals(1, fleet.rows());
    }

    @Test
    void shouldFindChangeByIdentifierWhenOutcomeIsUnknown() {
      fleet.platform.loseReplies(100);
      OperatorReply unknown = node("vm-a").run(Fleet.CREATE_GROUP, Optional.of("change-1"), false);
      fleet.platform.loseReplies(0);
      assertCode(ResultCode.STORE_UNKNOWN, unknown);
      assertEquals(Outcome.OUTCOME_UNKNOWN, unknown.outcome());
      assertEquals(Optional.of("change-1"), unknown.changeId());
      assertEquals(Optional.of(1L), node("vm-b").run("show change change-1").version());
      OperatorReply again = node("vm-c").run(Fleet.CREATE_GROUP, Optional.of("change-1"), false);
      assertEquals(Optional.of(1L), again.version());
      assertEquals(1, fleet.rows());
    }

    @Test
    void shouldReturnSameVersionWhenLaggingProxyReceivesRepeatedChange() {
      createGroup();
      String command = "drain target a1 if version 1";
      node("vm-a").run(command, Optional.of("change-2"), false);
      OperatorReply again = node("vm-b").run(command, Optional.of("change-2"), false);
      assertEquals(Optional.of(2L), again.version());
      node("vm-a").run("drain target a2");
      OperatorReply late = node("vm-c").run(command, Optional.of("change-2"), false);
      assertEquals(Optional.of(2L), late.version());
      assertEquals(3, fleet.rows());
    }

    @Test
    void shouldReturnUnknownChangeWhenNothingWasWritten() {
      assertCode(ResultCode.UNKNOWN_CHANGE, node("vm-a").run("show change none"));
    }
  }

  @Nested
  class Outages {
    @Test
    void shouldKeepConfigurationAndRefuseChangesWhenTableIsDown() {
      createGroup();
      fleet.platform.setDown(true);
      assertCode(ResultCode.STORE_UNAVAILABLE, node("vm-a").run("drain target a1"));
      for (int i = 0; i < 100; i++) {
        fleet.round();
      }
      assertEquals(List.of(1L, 1L, 1L), fleet.versions());
      fleet.platform.setDown(false);
      fleet.round();
      assertEquals(1, fleet.rows());
      assertCode(ResultCode.DONE, node("vm-a").run("drain target a1"));
    }

    @Test
    void shouldReturnStoreUnknownWhenTableIsSlowerThanItsTimeout() {
      createGroup();
      fleet.platform.setSlowMs(5_000);
      OperatorReply slow = node("vm-a").run("drain target a1");
      fleet.platform.setSlowMs(0);
      assertCode(ResultCode.STORE_UNKNOWN, slow);
      String command = "show change " + slow.changeId().orElseThrow();
      assertEquals(Optional.of(2L), node("vm-b").run(command).version());
    }

    @Test
    void shouldGetRowsFromPeersWhenDomainIsCutFromPlatform() {
      createGroup();
      fleet.links.cutPlatform("lekki");
      assertCode(ResultCode.DONE, node("vm-a").run("drain target a2"));
      fleet.round();
      fleet.round();
      assertEquals(List.of(2L, 2L, 2L), fleet.versions());
    }

    @Test
    void shouldReachCutDomainInFewRoundsWhenFleetHas60Proxies() {
      List<String> domains = List.of("ikeja", "lekki", "apapa");
      for (int i = 3; i < 60; i++) {
        fleet.startListed("vm-" + i, domains.get(i % 3));
      }
      fleet.nodes.values().forEach(node -> node.control().vmListPoll().poll());
      fleet.links.cutPlatform("lekki");
      assertCode(ResultCode.DONE, node("vm-a").run(Fleet.CREATE_GROUP));
      int rounds = 0;
      while (fleet.versions().contains(0L) && rounds < MAX_RELAY_ROUNDS) {
        fleet.round();
        rounds++;
      }
      assertFalse(fleet.versions().contains(0L), fleet.versions().toString());
    }

    @Test
    void shouldListProxiesNotReachedWhenDomainIsIsolated() {
      createGroup();
      fleet.links.cutPlatform("lekki");
      fleet.links.isolate("lekki", List.of("ikeja", "apapa"));
      OperatorReply reply = node("vm-a").run("drain target a2", Optional.empty(), true);
      assertCode(ResultCode.DONE, reply);
      assertEquals(List.of("vm-a", "vm-c"), reply.inForce());
      assertEquals(List.of("vm-b"), reply.notReached());
      fleet.links.healAll();
      for (int i = 0; i < 3; i++) {
        fleet.round();
      }
      assertEquals(List.of(2L, 2L, 2L), fleet.versions());
    }
  }

  @Nested
  class Restarts {
    private void submitChanges(int count) {
      for (int i = 0; i < count; i++) {
        String verb = fleet.rows() % 2 == 1 ? "drain" : "undrain";
        assertCode(ResultCode.DONE, node("vm-a").run(verb + " target a1"));
      }
    }

    @Test
    void shouldApplySnapshotAndLaterRowsWhenStarting() {
      createGroup();
      submitChanges(100);
      assertEquals(1, fleet.platform.objectNames("configuration/snapshots/").size());
      Fleet.Node fresh = fleet.startListed("vm-d", "ikeja");
      assertTrue(fresh.control().reasonNotReady().isPresent());
      fresh.control().configurationLog().poll();
      assertEquals(101, fresh.version());
      assertFalse(fresh.control().reasonNotReady().isPresent());
    }

    @Test
    void shouldKeepVersionWhenSnapshotIsStale() {
      createGroup();
      submitChanges(63);
      fleet.links.cutPlatform("apapa");
      Fleet.Node fresh =
          fleet.start("vm-c", "apapa", List.of(node("vm-a").vm().address()), List.of());
      fresh.control().heartbeats().exchange(node("vm-a").vm());
      submitChanges(2);
      fresh.control().heartbeats().exchange(node("vm-a").vm());
      assertEquals(66, fresh.version());
      fleet.links.healPlatform("apapa");
      fresh.control().configurationLog().poll();
      assertEquals(66, fresh.version());
    }

    @Test
    void shouldAskPeersWhenPlatformIsDownAtStart() {
      createGroup();
      fleet.platform.setDown(true);
      Fleet.Node fresh =
          fleet.start("vm-d", "lekki", List.of(node("vm-a").vm().address()), List.of());
      fresh.control().configurationLog().poll();
      assertTrue(fresh.control().reasonNotReady().isPresent());
      fresh.control().heartbeats().runRound();
      assertEquals(1, fresh.version());
      assertFalse(fresh.control().reasonNotReady().isPresent());
    }

    @Test
    void shouldStayNotReadyWhenPeerHasNoConfigurationEither() {
      fleet.platform.setDown(true);
      Fleet.Node fresh =
          fleet.start("vm-d", "lekki", List.of(node("vm-a").vm().address()), List.of());
      fresh.control().heartbeats().runRound();
      assertTrue(fresh.control().reasonNotReady().isPresent());
    }

    @Test
    void shouldFindChangeWhenProxyRestartsAfterWriteWithUnknownOutcome() {
      fleet.platform.loseReplies(100);
      node("vm-a").run(Fleet.CREATE_GROUP, Optional.of("change-1"), false);
      fleet.platform.loseReplies(0);
      Fleet.Node restarted = fleet.start("vm-a", "ikeja", List.of(), List.of());
      assertEquals(Optional.of(1L), restarted.run("show change change-1").version());
    }
  }

  @Nested
  class PoisonedRows {
    private void assertLogBlockedBy(String text, String reason) {
      createGroup();
      appendRow(text);
      fleet.round();
      assertEquals(List.of(1L, 1L, 1L), fleet.versions());
      String shown = node("vm-b").run("show config").text();
      assertTrue(shown.contains(reason), shown);
      assertCode(ResultCode.POISONED_ROW, node("vm-a").run("drain target a1"));
      assertEquals(2, fleet.rows());
    }

    @Test
    void shouldBlockLogAndKeepConfigurationWhenRowIsNotJson() {
      assertLogBlockedBy("{\"schema\":1,", "bad JSON");
    }

    @Test
    void shouldBlockLogAndKeepConfigurationWhenSchemaIsUnknown() {
      assertLogBlockedBy("{\"schema\":2}", "unknown schema version 2");
    }

    @Test
    void shouldBlockLogAndKeepConfigurationWhenKindIsUnknown() {
      assertLogBlockedBy(
          "{\"schema\":1,\"id\":\"x\",\"version\":2,\"change\":{\"kind\":\"no\"}}", "bad change");
    }

    @Test
    void shouldBlockLogAndKeepConfigurationWhenRowIsTooLarge() {
      assertLogBlockedBy("x".repeat(ChangeRow.MAX_ROW_CHARS + 1), "characters");
    }

    @Test
    void shouldApplyRowOfTableWhenBadRowCameFromPeerOnly() {
      createGroup();
      AppliedLog applied = node("vm-b").control().appliedLog();
      assertEquals(AppliedLog.OfferResult.POISONED, applied.offer(new LogRow(2, "{")));
      assertCode(ResultCode.DONE, node("vm-a").run("drain target a1"));
      node("vm-b").control().configurationLog().poll();
      assertEquals(2, node("vm-b").version());
      assertEquals(Optional.empty(), applied.poisonedRow());
    }

    @Test
    void shouldBlockLogAndKeepConfigurationWhenRowIsMissing() {
      createGroup();
      fleet.platform.putIfAbsent(ConfigurationLog.TABLE, new Row(ChangeRow.key(7), "{}"));
      fleet.round();
      assertEquals(List.of(1L, 1L, 1L), fleet.versions());
      assertTrue(node("vm-c").run("show config").text().contains("row is missing"));
    }
  }

  @Nested
  class Requests {
    @Test
    void shouldRefuseWhenFieldIsMisspelt() {
      createGroup();
      OperatorReply reply =
          node("vm-a").operator().answer("{\"command\":\"drain target a1\",\"dry_run\":true}");
      assertCode(ResultCode.UNKNOWN_FIELD, reply);
      assertEquals(1, fleet.rows());
    }

    @Test
    void shouldRefuseWhenBodyOrStatementIsWrong() {
      OperatorEndpoint operator = node("vm-a").operator();
      assertCode(ResultCode.BAD_JSON, operator.answer("null"));
      assertCode(ResultCode.BAD_JSON, operator.answer("{\"command\":null}"));
      assertCode(ResultCode.BODY_TOO_LARGE, operator.answer("x".repeat(40_000)));
      assertCode(ResultCode.SYNTAX_ERROR, operator.answer("{\"command\":\"drain a1\"}"));
    }

    @Test
    void shouldReturnEveryTableWhenShown() {
      createGroup();
      for (String table :
          List.of("config", "groups", "services", "targets", "proxies", "lag", "changes")) {
        assertCode(ResultCode.DONE, node("vm-b").run("show " + table));
      }
      String command = "show targets where domain = lekki and state = in-service";
      OperatorReply reply = node("vm-b").run(command);
      assertEquals("a2", reply.table().orElseThrow().get(0).get("target").asText());
      assertEquals(1, reply.table().orElseThrow().size());
    }
  }

  @Nested
  class DryRun {
    @Test
    void shouldShowDifferenceAndWriteNothingWhenDryRun() {
      createGroup();
      OperatorReply reply =
          node("vm-a").operator().answer("{\"command\":\"drain target a1\",\"dryRun\":true}");
      assertCode(ResultCode.DONE, reply);
      assertTrue(reply.text().contains("+ drain target a1"), reply.text());
      assertEquals(1, fleet.rows());
    }
  }
}
