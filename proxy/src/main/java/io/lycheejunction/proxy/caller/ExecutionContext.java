package io.lycheejunction.proxy.caller;

import io.lycheejunction.core.group.GroupMonitor;
import io.lycheejunction.core.retry.SharedRetryBudget;
import io.lycheejunction.proxy.holder.HolderClient;
import java.util.Objects;

/**
 * What the executors of callers' requests share.
 *
 * @param holderClient runs statements and transactions on targets
 * @param monitor the known primaries and terms of the groups
 * @param retries the retry budget of this process
 * @param retryWait waits between attempts
 * @param entryVm the name of this proxy's VM
 */
record ExecutionContext(
    HolderClient holderClient,
    GroupMonitor monitor,
    SharedRetryBudget retries,
    RetryWait retryWait,
    String entryVm) {
  /** Rejects null components. */
  ExecutionContext {
    Objects.requireNonNull(holderClient, "holderClient is null");
    Objects.requireNonNull(monitor, "monitor is null");
    Objects.requireNonNull(retries, "retries is null");
    Objects.requireNonNull(retryWait, "retryWait is null");
    Objects.requireNonNull(entryVm, "entryVm is null");
  }
}
