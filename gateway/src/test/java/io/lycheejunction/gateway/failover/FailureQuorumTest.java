package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.lycheejunction.core.failover.PreVote;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

class FailureQuorumTest {
  private static final Map<String, String> VMS =
      Map.of("v1", "a", "v2", "b", "v3", "c", "v4", "c", "v5", "c", "v6", "b");

  private static Vote gone(String vm, String domain) {
    return new Vote(vm, domain, "i-1", true);
  }

  private static Vote present(String vm, String domain) {
    return new Vote(vm, domain, "i-1", false);
  }

  private static PreVote.Outcome decide(Vote... votes) {
    return FailureQuorum.decide(VMS, "i-1", List.of(votes), true);
  }

  /**
   * Guards against a lasting outage when a failure domain with half of the VMs is isolated together
   * with the primary.
   */
  @Test
  void shouldGrantWhenTwoOfThreeDomainsReportThePrimaryGone() {
    assertEquals(
        PreVote.Outcome.GRANTED, decide(gone("v1", "a"), gone("v2", "b"), gone("v6", "b")));
  }

  @Test
  void shouldNotGrantWhenOnlyOneDomainReportsThePrimaryGone() {
    assertEquals(PreVote.Outcome.DENIED, decide(gone("v3", "c"), gone("v4", "c"), gone("v5", "c")));
  }

  /**
   * Guards against a premature failover when a partition separates only one VM of a failure domain
   * from the primary.
   */
  @Test
  void shouldNotGrantWhenVmsOfTheDomainHaveNotVoted() {
    assertEquals(PreVote.Outcome.DENIED, decide(gone("v1", "a"), gone("v2", "b")));
  }

  @Test
  void shouldNotGrantWhenAsManyVmsReachThePrimaryAsDoNot() {
    assertEquals(
        PreVote.Outcome.DENIED,
        decide(
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

    assertEquals(PreVote.Outcome.DENIED, decide(gone("v1", "a"), other, gone("v6", "b")));
  }

  @Test
  void shouldGrantOnOneVoteWhenThePrimaryIsNotRegistered() {
    assertEquals(
        PreVote.Outcome.GRANTED, FailureQuorum.decide(VMS, "i-1", List.of(gone("v1", "a")), false));
  }

  @Test
  void shouldNotGrantWhenThePrimaryIsNotRegisteredButAnotherVmReachesIt() {
    assertEquals(
        PreVote.Outcome.DENIED,
        FailureQuorum.decide(VMS, "i-1", List.of(gone("v1", "a"), present("v2", "b")), false));
  }

  /** Failure: a VM that had just started knew no primary, and replaced the one that others used. */
  @Test
  void shouldNotGrantWhenThePrimaryIsNotKnownButAnotherVmReachesOne() {
    List<Vote> votes =
        List.of(new Vote("v1", "a", "", true), new Vote("v2", "b", "", true), present("v3", "c"));

    assertEquals(PreVote.Outcome.DENIED, FailureQuorum.decide(VMS, "", votes, false));
  }

  @Test
  void shouldNeedMajorityWhenThePrimaryIsNotRegisteredAndAnotherVmReachesAnotherOne() {
    Vote reachesOther = new Vote("v3", "c", "i-2", false);

    assertEquals(
        PreVote.Outcome.DENIED,
        FailureQuorum.decide(VMS, "i-1", List.of(gone("v1", "a"), reachesOther), false));
    assertEquals(
        PreVote.Outcome.GRANTED,
        FailureQuorum.decide(
            VMS,
            "i-1",
            List.of(gone("v1", "a"), gone("v2", "b"), gone("v6", "b"), reachesOther),
            false));
  }
}
