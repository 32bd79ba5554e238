package io.lycheejunction.core.configuration;

/** States what a read with a maximum age gets when the age of the reachable data is not proven. */
public enum CutOffReads {
  /** The read is refused. */
  REFUSE,
  /** The read is answered with data of unproven age, and the answer says so. */
  SERVE_OLDER
}
