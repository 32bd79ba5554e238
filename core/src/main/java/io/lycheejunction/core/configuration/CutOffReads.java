package io.lycheejunction.core.configuration;

/** How a bounded-staleness read is handled when the age of the reachable data is not proven. */
public enum CutOffReads {
  /** The read is refused. */
  REFUSE,
  /** The read is answered with data of unproven age, and the answer says so. */
  SERVE_OLDER
}
