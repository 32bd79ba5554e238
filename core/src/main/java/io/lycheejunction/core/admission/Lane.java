package io.lycheejunction.core.admission;

/** The classes of requests of one target, in the order in which they are served. */
public enum Lane {
  /** Writes, reads that accept no age, and steps of open transactions. */
  URGENT,
  /** Reads that accept data of some age. */
  STALE_READ
}
