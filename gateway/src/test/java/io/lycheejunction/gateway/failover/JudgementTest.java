package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.failover.PreVote;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class JudgementTest {
  private static final Map<String, String> VMS =
      Map.of("v1", "a", "v2", "b", "v3", "c", "v4", "c", "v5", "c", "v6", "b");

  private static Vote gone(String vm, String domain) {
    return new Vote(vm, domain, "i-1", true);
  }

  private static Vote present(String vm, String domain) {
    return new Vote(vm, domain, "i-1", false);
  }

  private static PreVote.Outcome judge(Vote... votes) {
    return Judgement.of(VMS, "i-1", List.of(votes), true);
  }

  /** Answers a cut-off failure domain that has half of the VMs and the primary. */
  @Test
  void shouldGrantWhenTwoOfThreeDomainsSeeThePrimaryGone() {
    assertEquals(PreVote.Outcome.GRANTED, judge(gone("v1", "a"), gone("v2", "b"), gone("v6", "b")));
  }

  @Test
  void shouldNotGrantWhenOnlyOneDomainSeesThePrimaryGone() {
    assertEquals(PreVote.Outcome.DENIED, judge(gone("v3", "c"), gone("v4", "c"), gone("v5", "c")));
  }

  /** Answers a cut that leaves one VM of a domain without the primary and the others with it. */
  @Test
  void shouldNotGrantWhenSilentVmsOfTheDomainMayStillReachThePrimary() {
    assertEquals(PreVote.Outcome.DENIED, judge(gone("v1", "a"), gone("v2", "b")));
  }

  @Test
  void shouldNotGrantWhenAsManyVmsReachThePrimaryAsDoNot() {
    assertEquals(
        PreVote.Outcome.DENIED,
        judge(
            gone("v1", "a"),
            gone("v2", "b"),
            gone("v6", "b"),
            present("v3", "c"),
            present("v4", "c"),
            present("v5", "c")));
  }

  @Test
  void shouldIgnoreVotesOnAnotherPrimary() {
    Vote other = new Vote("v2", "b", "i-2", true);

    assertEquals(PreVote.Outcome.DENIED, judge(gone("v1", "a"), other, gone("v6", "b")));
  }

  @Test
  void shouldGrantOnOneVoiceWhenThePrimaryHasDisappearedFromTheStoreToo() {
    assertEquals(
        PreVote.Outcome.GRANTED, Judgement.of(VMS, "i-1", List.of(gone("v1", "a")), false));
  }

  @Test
  void shouldNotGrantWhenThePrimaryHasDisappearedFromTheStoreButAnswers() {
    assertEquals(
        PreVote.Outcome.DENIED,
        Judgement.of(VMS, "i-1", List.of(gone("v1", "a"), present("v2", "b")), false));
  }
}
