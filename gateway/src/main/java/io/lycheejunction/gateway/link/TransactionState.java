package io.lycheejunction.gateway.link;

/** Whether a connection is inside a transaction. */
public enum TransactionState {
  /** No transaction is open. */
  NONE,
  /** A transaction is open. */
  OPEN,
  /** A transaction is open and has failed: it can only end. */
  FAILED
}
