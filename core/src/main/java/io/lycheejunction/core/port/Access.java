package io.lycheejunction.core.port;

/** The effect that a caller declares for a statement. */
public enum Access {
  /** The statement only reads; a target refuses it if it would change data. */
  READ,
  /** The statement may change data. */
  WRITE
}
