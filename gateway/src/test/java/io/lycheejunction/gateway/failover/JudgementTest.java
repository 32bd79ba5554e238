package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.failover.PreVote;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class JudgementTest {
  private static final Set<String> DOMAINS = Set.of("a", "b", "c");

  private static Vote gone(String vm, String domain) {
    return new Vote(vm, domain, "i-1", true);
  }

  private static Vote present(String vm, String domain) {
    return new Vote(vm, domain, "i-1", false);
  }

  private static PreVote.Outcome judge(int silentVms, Vote... votes) {
    return Judgement.of(DOMAINS, "i-1", List.of(votes), silentVms, true);
  }

  @Test
  void shouldGrantWhenTwoOfThreeDomainsSeeThePrimaryGone() {
    assertEquals(PreVote.Outcome.GRANTED, judge(1, gone("v1", "a"), gone("v2", "b")));
  }

  @Test
  void shouldNotGrantWhenOnlyOneDomainSeesThePrimaryGone() {
    assertEquals(PreVote.Outcome.OPEN, judge(0, gone("v1", "a"), gone("v2", "a"), gone("v3", "a")));
  }

  @Test
  void shouldNotGrantWhenMostVmsMayStillReachThePrimary() {
    assertEquals(PreVote.Outcome.DENIED, judge(4, gone("v1", "a"), gone("v2", "b")));
  }

  @Test
  void shouldNotGrantWhenAsManyVmsReachThePrimaryAsDoNot() {
    assertEquals(
        PreVote.Outcome.DENIED,
        judge(0, gone("v1", "a"), gone("v2", "b"), present("v3", "c"), present("v4", "c")));
  }

  @Test
  void shouldIgnoreVotesOnAnotherPrimary() {
    Vote other = new Vote("v2", "b", "i-2", true);

    assertEquals(PreVote.Outcome.OPEN, judge(0, gone("v1", "a"), other));
  }

  @Test
  void shouldGrantOnOneVoiceWhenThePrimaryHasDisappearedFromTheStoreToo() {
    assertEquals(
        PreVote.Outcome.GRANTED, Judgement.of(DOMAINS, "i-1", List.of(gone("v1", "a")), 4, false));
  }
}
