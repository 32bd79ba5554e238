package io.lycheejunction.proxy.caller;

/** The kinds of callers' requests. */
enum RequestKind {
  /** A single read. */
  READ,
  /** A single write. */
  WRITE,
  /** The begin of a transaction. */
  BEGIN,
  /** A statement in a transaction. */
  STEP,
  /** A commit. */
  COMMIT,
  /** A rollback. */
  ROLLBACK,
  /** A look-up of a key's outcome. */
  OUTCOME
}
