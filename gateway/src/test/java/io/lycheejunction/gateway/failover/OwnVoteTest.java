package io.lycheejunction.gateway.failover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/**
 * Load: each holder repeated its vote in the store every second, and each write woke the polls of
 * all holders.
 */
class OwnVoteTest {
  private static final long START_MS = 100_000;

  /** How long others count a vote that they have read. */
  private static final long VALIDITY_MS = 3_000;

  private static final long REFRESHED_MS = START_MS + OwnVote.REFRESH_MS;

  private final OwnVote vote = new OwnVote();

  @Test
  void shouldRepeatReportBeforeItExpiresAtOthers() {
    vote.onPublished(true, START_MS);

    assertFalse(vote.isDue(true, START_MS + 1_000));
    assertTrue(vote.isDue(true, START_MS + VALIDITY_MS - 1_000));
  }

  @Test
  void shouldPublishAtOnceWhenTheVoteChanges() {
    vote.onPublished(true, START_MS);

    assertTrue(vote.isDue(false, START_MS + 1));
  }

  @Test
  void shouldNotRepeatContradictionWhenNoReportHasFollowed() {
    vote.onReported(START_MS - 100);
    vote.onPublished(false, START_MS);
    vote.onReported(START_MS - 100);

    assertFalse(vote.isDue(false, START_MS + 10_000));
  }

  /** A contradiction that lapses while reports go on would let the others release the primary. */
  @Test
  void shouldRepeatContradictionBeforeItExpiresWhenReportIsRepeated() {
    vote.onPublished(false, START_MS);
    vote.onReported(REFRESHED_MS - 1);

    assertTrue(vote.isDue(false, REFRESHED_MS));
  }

  @Test
  void shouldRepeatContradictionWhenAnotherVmHasAskedForIt() {
    vote.onPublished(false, START_MS);
    vote.onAsked();

    assertFalse(vote.isDue(false, START_MS + 1_000));
    assertTrue(vote.isDue(false, REFRESHED_MS));
  }

  @Test
  void shouldPublishContradictionWhenThePrimaryIsAnotherOne() {
    vote.onPublished(false, START_MS);
    vote.clear();

    assertTrue(vote.isDue(false, START_MS + 1));
  }
}
