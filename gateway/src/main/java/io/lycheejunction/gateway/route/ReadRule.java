package io.lycheejunction.gateway.route;

/** What a read through a route must see. */
public sealed interface ReadRule {

  /** Every acknowledged commit. */
  record Latest() implements ReadRule {}

  /**
   * Every commit older than an age.
   *
   * @param maxAgeMs the age, in milliseconds
   */
  record Aged(long maxAgeMs) implements ReadRule {}

  /**
   * Every commit of the session, and every commit older than an age.
   *
   * @param maxAgeMs the age, in milliseconds
   */
  record OwnWrites(long maxAgeMs) implements ReadRule {}
}
