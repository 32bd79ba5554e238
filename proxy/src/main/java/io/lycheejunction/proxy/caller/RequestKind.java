package io.lycheejunction.proxy.caller;

/** The kinds of callers' requests. */
enum RequestKind {
  /** A single read. */
  READ,
  /** A single write. */
  WRITE,
  /** A request to begin a transaction. */
  BEGIN,
  /** A statement in a transaction. */
  STEP,
  /** A commit. */
  COMMIT,
  /** A rollback. */
  ROLLBACK,
  /** A query for the outcome of an idempotency key. */
  OUTCOME
}
