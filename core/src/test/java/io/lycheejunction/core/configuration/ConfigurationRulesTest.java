package io.lycheejunction.core.configuration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ConfigurationRulesTest {
  private static final TargetSpec A1 = new TargetSpec("a1", "ikeja", "127.0.0.1:9001");
  private static final TargetSpec A2 = new TargetSpec("a2", "lekki", "127.0.0.1:9002");
  private static final TargetSpec A3 = new TargetSpec("a3", "apapa", "127.0.0.1:9003");
  private static final TargetSpec A4 = new TargetSpec("a4", "apapa", "127.0.0.1:9004");
  private static final Configuration ONE_GROUP =
      apply(Configuration.empty(), new Change.CreateGroup("orders", List.of(A1, A2, A3), 3, 20));

  private static Configuration apply(Configuration before, Change change) {
    Result<Configuration> after = ConfigurationRules.apply(before, change);
    assertFalse(after.isEmpty(), after.toString());
    return after.getOrElse(before);
  }

  private static void assertInvalid(Configuration before, Change change) {
    Result.Failure<?> failure =
        assertInstanceOf(Result.Failure.class, ConfigurationRules.apply(before, change));
    assertEquals(ResultCode.INVALID_CHANGE, failure.fault().code());
  }

  private static Change alterTargets(TargetSpec... targets) {
    return new Change.AlterGroup(
        "orders", Optional.of(List.of(targets)), Optional.empty(), Optional.empty());
  }

  @Nested
  class Apply {
    @Test
    void shouldIncrementVersionWhenChangeIsApplied() {
      Configuration after =
          apply(ONE_GROUP, new Change.CreateService("tides", "orders", ServiceRules.empty()));
      assertEquals(2, after.version());
      assertEquals(
          new ServiceSpec("tides", "orders", Durability.MAJORITY, 0, CutOffReads.REFUSE, 1),
          after.service("tides").orElseThrow());
    }

    @Test
    void shouldKeepOtherRulesWhenOneRuleIsAltered() {
      Configuration created =
          apply(
              ONE_GROUP,
              new Change.CreateService(
                  "tides",
                  "orders",
                  new ServiceRules(
                      Optional.of(Durability.PRIMARY),
                      Optional.of(2_000L),
                      Optional.empty(),
                      Optional.empty())));
      Configuration after =
          apply(
              created,
              new Change.AlterService(
                  "tides",
                  new ServiceRules(
                      Optional.empty(), Optional.empty(), Optional.empty(), Optional.of(4))));
      assertEquals(
          new ServiceSpec("tides", "orders", Durability.PRIMARY, 2_000, CutOffReads.REFUSE, 4),
          after.service("tides").orElseThrow());
    }

    @Test
    void shouldRemoveDrainedNameWhenTargetIsRemoved() {
      Configuration drained = apply(ONE_GROUP, new Change.DrainTarget("a3", true));
      assertEquals(Set.of("a3"), drained.group("orders").orElseThrow().drained());
      Configuration removed = apply(drained, alterTargets(A1, A2));
      assertEquals(Set.of(), removed.group("orders").orElseThrow().drained());
    }

    @Test
    void shouldRejectChangeWhenMoreThanOneTargetDiffers() {
      assertInvalid(ONE_GROUP, alterTargets(A1, A2, A4));
      assertInvalid(ONE_GROUP, alterTargets(A1));
      assertEquals(
          4,
          apply(ONE_GROUP, alterTargets(A1, A2, A3, A4)).groups().get("orders").targets().size());
    }

    @Test
    void shouldRejectGroupWhenValueIsInvalid() {
      for (Change change :
          List.of(
              new Change.CreateGroup("Orders", List.of(A4), 1, 1),
              new Change.CreateGroup("g", List.of(), 1, 1),
              new Change.CreateGroup("g", List.of(A4), 0, 1),
              new Change.CreateGroup("g", List.of(A4), 3, 2),
              new Change.CreateGroup("g", List.of(A4), 1, 10_001),
              new Change.CreateGroup("g", List.of(A4, A4), 1, 1),
              new Change.CreateGroup("g", List.of(A1), 1, 1),
              new Change.CreateGroup(
                  "g", List.of(new TargetSpec("x", "ikeja", "300.0.0.1:1")), 1, 1),
              new Change.CreateGroup(
                  "g", List.of(new TargetSpec("x", "ikeja", "127.0.0.1:0")), 1, 1),
              new Change.CreateGroup(
                  "g", List.of(new TargetSpec("x", "ikeja", A1.address())), 1, 1))) {
        assertInvalid(ONE_GROUP, change);
      }
    }

    @Test
    void shouldRejectChangeWhenItContradictsConfiguration() {
      Configuration withService =
          apply(ONE_GROUP, new Change.CreateService("tides", "orders", ServiceRules.empty()));
      for (Change change :
          List.of(
              new Change.DropGroup("orders"),
              new Change.DropGroup("none"),
              new Change.DropService("none"),
              new Change.CreateService("tides", "orders", ServiceRules.empty()),
              new Change.CreateService("other", "none", ServiceRules.empty()),
              new Change.DrainTarget("none", true),
              new Change.DrainTarget("a1", false))) {
        assertInvalid(withService, change);
      }
    }
  }
}
