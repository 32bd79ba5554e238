package io.lycheejunction.core.admission;

/** The priority classes of requests to one target, the highest priority first. */
public enum PriorityClass {
  /** Writes, reads that accept no stale data, and steps of open transactions. */
  URGENT,
  /** Reads that accept stale data up to a maximum age. */
  STALE_READ
}
