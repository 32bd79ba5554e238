package io.lycheejunction.gateway.link;

/** The transaction state of a connection or session. */
public enum TransactionState {
  /** No transaction is open. */
  NONE,
  /** A transaction is open. */
  OPEN,
  /** A transaction is open and has failed; it can only be rolled back. */
  FAILED
}
