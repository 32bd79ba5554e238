package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.lycheejunction.gateway.peer.PeerAnswer;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against replacing a primary that VMs cut off from the store still reach. */
class PeerVotesTest {
  private static final Vote REACHED = new Vote("vm-a", "domain-i-1", "i-1", false);

  private final FailoverFixture fixture = new FailoverFixture();
  private final PeerVotes votes = new PeerVotes(fixture.failover, "orders");

  @Test
  void shouldReturnTheVoteWhenVmAnswers() {
    fixture.answers.put("vm-a", new PeerAnswer.Replied<>(REACHED));

    votes.ask("i-1", Set.of("vm-a"));

    assertEquals(List.of(REACHED), votes.votes());
    assertTrue(votes.haveReplied(Set.of("vm-a")));
  }

  @Test
  void shouldReturnNoVoteWhenTheAnswerHasExpired() {
    fixture.answers.put("vm-a", new PeerAnswer.Replied<>(REACHED));
    votes.ask("i-1", Set.of("vm-a"));

    fixture.group.scheduler.advanceMs(PeerVotes.VOTE_VALID_MS + 1);

    assertEquals(List.of(), votes.votes());
  }

  @Test
  void shouldForgetAnswersWhenAskedAboutAnotherPrimary() {
    fixture.answers.put("vm-a", new PeerAnswer.Replied<>(REACHED));
    votes.ask("i-1", Set.of("vm-a"));

    votes.ask("i-2", Set.of());

    assertEquals(List.of(), votes.votes());
  }

  @Test
  void shouldReturnVmWithoutGatewayWhenNoProcessListensThere() {
    fixture.answers.put("vm-a", new PeerAnswer.Absent<>());

    votes.ask("i-1", Set.of("vm-a", "vm-c"));

    assertEquals(Set.of("vm-a"), votes.vmsWithoutGateway());
  }

  @Test
  void shouldAskVmAgainOnlyWhenTheIntervalHasPassed() {
    votes.ask("i-1", Set.of("vm-a"));
    votes.ask("i-1", Set.of("vm-a"));
    assertEquals(1, fixture.askedVms.size());

    fixture.group.scheduler.advanceMs(PeerVotes.REQUEST_INTERVAL_MS);
    votes.ask("i-1", Set.of("vm-a"));

    assertEquals(2, fixture.askedVms.size());
  }

  /** Guards against a flood of requests in a fleet of hundreds of VMs. */
  @Test
  void shouldLimitRequestsInFlightWhenManyVmsAreSilent() {
    fixture.withholdAnswers = true;
    Set<String> vms = new HashSet<>();
    for (int i = 0; i < 500; i++) {
      vms.add("vm-" + i);
    }

    votes.ask("i-1", vms);

    assertEquals(PeerVotes.MAX_REQUESTS, fixture.askedVms.size());
    assertFalse(votes.haveReplied(vms));
  }
}
