package io.lycheejunction.core.port;

/** The effect that a caller declares for a statement. */
public enum Access {
  /** The statement changes nothing; a target refuses it if it would. */
  READ,
  /** The statement may change data. */
  WRITE
}
