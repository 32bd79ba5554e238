package io.lycheejunction.proxy.holder;

import static io.lycheejunction.proxy.holder.HolderFixture.code;
import static io.lycheejunction.proxy.holder.HolderFixture.value;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.core.result.Result;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests holders together with group monitors on a simulated group whose primary is cut off.
 *
 * <p>Guards against lost acknowledged writes, and against answers from a primary that was replaced
 * without knowing it, because the network cut it off from the majority.
 */
class HolderFailoverTest {
  private final ModelFixture fixture = new ModelFixture();
  private String primary;
  private String primaryDomain;
  private String otherDomain;

  @BeforeEach
  void awaitPrimary() {
    fixture.runFor(3_000);
    primary = fixture.view("a").primary().orElseThrow();
    primaryDomain = primary.substring(2);
    otherDomain = primaryDomain.equals("a") ? "b" : "a";
  }

  private KeyAnswer outcome(String domain, String key) {
    return value(
        fixture
            .holders
            .get(domain)
            .lookUpKey(
                new KeyQuery(
                    ModelFixture.GROUP,
                    fixture.view(domain).primary().orElseThrow(),
                    fixture.view(domain).term(),
                    key,
                    true,
                    1_000)));
  }

  @Nested
  class PrimaryCutOff {
    @Test
    void shouldNotAcknowledgeWriteWhenPrimaryIsCutOff() {
      value(fixture.write(otherDomain, "before", 1_000));
      fixture.isolate(primaryDomain);
      for (int i = 0; i < 5; i++) {
        Result<HolderAnswer> result = fixture.write(primaryDomain, "cut" + i, 100);
        assertTrue(result.isEmpty(), "acknowledged by a cut-off primary");
        fixture.runFor(200);
      }
      Optional<ResultCode> later = code(fixture.write(primaryDomain, "late", 100));
      assertTrue(
          Set.of(ResultCode.MAJORITY_LOST, ResultCode.NO_PRIMARY).contains(later.orElseThrow()),
          later::toString);
    }

    @Test
    void shouldKeepAcknowledgedWriteWhenAnotherPrimaryTakesOver() {
      final LogPosition position = value(fixture.write(otherDomain, "kept", 1_000)).position();
      fixture.isolate(primaryDomain);
      fixture.runFor(5_000);
      String newPrimary = fixture.view(otherDomain).primary().orElseThrow();
      assertNotEquals(primary, newPrimary);
      assertEquals(KeyAnswer.State.RECORDED, outcome(otherDomain, "kept").state());
      HolderAnswer read = value(fixture.read(otherDomain, newPrimary, position));
      assertTrue(read.position().isAtLeast(position));
      value(fixture.write(otherDomain, "after", 1_000));
    }

    @Test
    void shouldCancelWriteOfUnknownOutcomeWhenItsPrimaryWasReplaced() {
      fixture.isolate(primaryDomain);
      Result<HolderAnswer> lost = fixture.write(primaryDomain, "lost", 100);
      assertTrue(lost.isEmpty());
      fixture.runFor(5_000);
      assertEquals(KeyAnswer.State.CANCELLED, outcome(otherDomain, "lost").state());
      fixture.links.healAll();
      fixture.runFor(3_000);
      Result<HolderAnswer> again = fixture.write(otherDomain, "lost", 1_000);
      assertEquals(Optional.of(ResultCode.CANCELLED), code(again));
    }

    @Test
    void shouldRefuseReadsInCutOffDomainWhenAgeIsNotProven() {
      fixture.write(otherDomain, "x", 1_000);
      fixture.runFor(500);
      fixture.isolate(otherDomain);
      String replica = "t-" + otherDomain;
      value(fixture.read(otherDomain, replica, LogPosition.ORIGIN));
      fixture.runFor(4_000);
      Optional<ResultCode> late = code(fixture.read(otherDomain, replica, LogPosition.ORIGIN));
      assertEquals(Optional.of(ResultCode.AGE_NOT_PROVEN), late);
    }
  }

  @Nested
  class PrimaryReconnected {
    @Test
    void shouldNotServeDivergentLogSuffixWhenOldPrimaryReconnects() {
      fixture.isolate(primaryDomain);
      fixture.write(primaryDomain, "divergent", 100);
      fixture.runFor(5_000);
      LogPosition position = value(fixture.write(otherDomain, "new", 1_000)).position();
      fixture.links.healAll();
      fixture.runFor(3_000);
      HolderAnswer read = value(fixture.read(otherDomain, primary, position));
      assertTrue(
          read.rows().stream().noneMatch(row -> row.contains("divergent")), read.rows()::toString);
      assertTrue(read.rows().stream().anyMatch(row -> row.contains("new")), read.rows()::toString);
    }
  }
}
