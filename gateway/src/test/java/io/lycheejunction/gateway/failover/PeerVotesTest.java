package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Answers a primary that VMs without the store still reach: what they say counts. */
class PeerVotesTest {
  private static final Vote REACHED = new Vote("vm-a", "domain-i-1", "i-1", false);

  private final FailoverFixture fixture = new FailoverFixture();
  private final PeerVotes votes = new PeerVotes(fixture.failover, "orders");

  @Test
  void shouldReturnTheVoteWhenVmAnswers() {
    fixture.answers.put("vm-a", new Peers.Answer.Voted(REACHED));

    votes.ask("i-1", Set.of("vm-a"));

    assertEquals(List.of(REACHED), votes.votes());
    assertTrue(votes.haveBeenAsked(Set.of("vm-a")));
  }

  @Test
  void shouldReturnNoVoteWhenTheAnswerHasGrownOld() {
    fixture.answers.put("vm-a", new Peers.Answer.Voted(REACHED));
    votes.ask("i-1", Set.of("vm-a"));

    fixture.group.scheduler.advanceMs(PeerVotes.FRESH_MS + 1);

    assertEquals(List.of(), votes.votes());
  }

  @Test
  void shouldForgetAnswersWhenAskedAboutAnotherPrimary() {
    fixture.answers.put("vm-a", new Peers.Answer.Voted(REACHED));
    votes.ask("i-1", Set.of("vm-a"));

    votes.ask("i-2", Set.of());

    assertEquals(List.of(), votes.votes());
  }

  @Test
  void shouldNameVmAbsentWhenNoProcessListensThere() {
    fixture.answers.put("vm-a", new Peers.Answer.Absent());

    votes.ask("i-1", Set.of("vm-a", "vm-c"));

    assertEquals(Set.of("vm-a"), votes.absent());
  }

  @Test
  void shouldAskVmAgainOnlyAfterThePause() {
    votes.ask("i-1", Set.of("vm-a"));
    votes.ask("i-1", Set.of("vm-a"));
    assertEquals(1, fixture.asked.size());

    fixture.group.scheduler.advanceMs(PeerVotes.ASK_AGAIN_MS);
    votes.ask("i-1", Set.of("vm-a"));

    assertEquals(2, fixture.asked.size());
  }

  /** Answers a fleet of hundreds of VMs, of which each asks only a few at a time. */
  @Test
  void shouldAskFewVmsAtOnceWhenManyAreSilent() {
    fixture.holdsAnswers = true;
    Set<String> many = new HashSet<>();
    for (int i = 0; i < 500; i++) {
      many.add("vm-" + i);
    }

    votes.ask("i-1", many);

    assertEquals(PeerVotes.MAX_ASKED, fixture.asked.size());
    assertFalse(votes.haveBeenAsked(many));
  }
}
