package io.lycheejunction.gateway.route;

/** The read consistency of a route: the commits that a read must observe. */
public sealed interface ReadRule {

  /** Reads observe every acknowledged commit. */
  record Latest() implements ReadRule {}

  /**
   * Bounded staleness: reads observe every commit older than an age.
   *
   * @param maxAgeMs the age, in milliseconds
   */
  record Aged(long maxAgeMs) implements ReadRule {}

  /**
   * Read your writes: reads observe every commit of the session, and every other commit older than
   * an age.
   *
   * @param maxAgeMs the age, in milliseconds
   */
  record OwnWrites(long maxAgeMs) implements ReadRule {}
}
