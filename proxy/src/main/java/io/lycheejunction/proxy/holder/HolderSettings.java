package io.lycheejunction.proxy.holder;

/**
 * The limits and timeouts of the holder of connection pools.
 *
 * @param queueCapacity the maximum number of statements that wait for one target
 * @param peerConcurrency the maximum number of requests in flight to one peer
 * @param connectTimeoutMs the timeout of opening a connection, in milliseconds
 * @param catchUpTimeoutMs the maximum time that a read waits for a replica to catch up, in
 *     milliseconds
 * @param catchUpPollMs the interval at which a waiting read polls the replica's status, in
 *     milliseconds
 * @param catchUpPauseMs the time for which reads do not wait for a replica after such a wait timed
 *     out, in milliseconds
 * @param confirmTimeoutMs the maximum time that a read waits for a majority to confirm a term or
 *     position, in milliseconds
 * @param idleConnectionTimeoutMs the time after which an idle connection is closed, in milliseconds
 * @param handoverMs the time for which a new holder opens at most half of a target's connections,
 *     because the former one may still use its own, in milliseconds
 * @param finishedTransactionRetentionMs the time for which the outcome of a transaction is kept for
 *     repeated commits, in milliseconds
 */
public record HolderSettings(
    int queueCapacity,
    int peerConcurrency,
    long connectTimeoutMs,
    long catchUpTimeoutMs,
    long catchUpPollMs,
    long catchUpPauseMs,
    long confirmTimeoutMs,
    long idleConnectionTimeoutMs,
    long handoverMs,
    long finishedTransactionRetentionMs) {
  private static final int QUEUE_CAPACITY = 512;
  private static final int PEER_CONCURRENCY = 1024;
  private static final long CONNECT_TIMEOUT_MS = 500;
  private static final long CATCH_UP_TIMEOUT_MS = 20;
  private static final long CATCH_UP_POLL_MS = 5;
  private static final long CATCH_UP_PAUSE_MS = 500;
  private static final long CONFIRM_TIMEOUT_MS = 100;
  private static final long IDLE_CONNECTION_TIMEOUT_MS = 30_000;
  private static final long HANDOVER_MS = 3_000;
  private static final long FINISHED_TRANSACTION_RETENTION_MS = 120_000;

  /**
   * Returns the default settings.
   *
   * @return the default settings
   */
  public static HolderSettings defaults() {
    return new HolderSettings(
        QUEUE_CAPACITY,
        PEER_CONCURRENCY,
        CONNECT_TIMEOUT_MS,
        CATCH_UP_TIMEOUT_MS,
        CATCH_UP_POLL_MS,
        CATCH_UP_PAUSE_MS,
        CONFIRM_TIMEOUT_MS,
        IDLE_CONNECTION_TIMEOUT_MS,
        HANDOVER_MS,
        FINISHED_TRANSACTION_RETENTION_MS);
  }
}
