package io.lycheejunction.gateway.failover;

import java.util.Optional;

/** This VM's vote on the primary of one service in the store, and when it has to be published. */
final class OwnVote {
  /**
   * Others count a vote for 3 s after they have read it, so a second is left for the write and the
   * read of the next one.
   */
  static final long REFRESH_MS = 2_000;

  private Optional<Boolean> published = Optional.empty();
  private long publishedMs;
  private boolean asked;

  /** Returns whether this VM has reported the primary gone. */
  boolean isGone() {
    return published.equals(Optional.of(true));
  }

  /** Forgets the vote, since the primary is another one. */
  void clear() {
    published = Optional.empty();
  }

  /** Records that another VM has asked this one directly for its vote or for a release. */
  void onAsked() {
    asked = true;
  }

  /**
   * Records that another VM has reported the primary gone.
   *
   * @param reportedMs when this VM has read the newest report, in milliseconds
   */
  void onReported(long reportedMs) {
    asked |= reportedMs > publishedMs;
  }

  /**
   * Returns whether a vote has to be published. A contradiction is repeated only if another VM has
   * asked for it or repeated its report since: the others need it only as long as they hold to
   * their reports.
   *
   * @param gone whether this VM considers the primary gone
   * @param nowMs the present time, in milliseconds
   */
  boolean isDue(boolean gone, long nowMs) {
    if (!published.equals(Optional.of(gone))) {
      return true;
    }
    return (gone || asked) && nowMs - publishedMs >= REFRESH_MS;
  }

  /** Records that the vote is being written. */
  void onPublished(boolean gone, long nowMs) {
    published = Optional.of(gone);
    publishedMs = nowMs;
    asked = false;
  }
}
