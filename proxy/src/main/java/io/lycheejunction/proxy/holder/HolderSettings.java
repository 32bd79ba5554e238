package io.lycheejunction.proxy.holder;

/**
 * The limits of the holder.
 *
 * @param queueCapacity the statements that may wait for one target
 * @param peerConcurrency the requests that are forwarded to one peer at once
 * @param connectTimeoutMs the time to open a connection, in milliseconds
 * @param catchUpMs the time that a read waits for a replica to catch up, in milliseconds
 * @param catchUpStepMs the time between two looks at a replica that catches up, in milliseconds
 * @param lagMs the time without such waits after one was in vain, in milliseconds
 * @param confirmMs the time that a read waits for a confirmation, in milliseconds
 * @param idleConnectionMs the time after which an unused connection is closed, in milliseconds
 * @param handoverMs the time for which a new holder opens at most half of a target's connections,
 *     in milliseconds
 * @param finishedTransactionMs the time for which the outcome of a commit is remembered, in
 *     milliseconds
 */
public record HolderSettings(
    int queueCapacity,
    int peerConcurrency,
    long connectTimeoutMs,
    long catchUpMs,
    long catchUpStepMs,
    long lagMs,
    long confirmMs,
    long idleConnectionMs,
    long handoverMs,
    long finishedTransactionMs) {
  private static final int QUEUE_CAPACITY = 512;
  private static final int PEER_CONCURRENCY = 1024;
  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long CATCH_UP_MS = 20;
  private static final long CATCH_UP_STEP_MS = 5;
  private static final long LAG_MS = 500;
  private static final long CONFIRM_MS = 100;
  private static final long IDLE_CONNECTION_MS = 30_000;
  private static final long HANDOVER_MS = 3_000;
  private static final long FINISHED_TRANSACTION_MS = 120_000;

  /**
   * Returns the limits that a proxy starts with.
   *
   * @return the limits
   */
  public static HolderSettings defaults() {
    return new HolderSettings(
        QUEUE_CAPACITY,
        PEER_CONCURRENCY,
        CONNECT_TIMEOUT_MS,
        CATCH_UP_MS,
        CATCH_UP_STEP_MS,
        LAG_MS,
        CONFIRM_MS,
        IDLE_CONNECTION_MS,
        HANDOVER_MS,
        FINISHED_TRANSACTION_MS);
  }
}
