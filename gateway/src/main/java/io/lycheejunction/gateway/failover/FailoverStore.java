package io.lycheejunction.gateway.failover;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;

/** The votes and failover leases that VMs share through the platform's store. */
public interface FailoverStore {

  /** The result of an attempt to acquire a lease. */
  sealed interface LeaseResult {

    /**
     * This process holds the lease.
     *
     * @param token the fencing token of the lease
     */
    record Acquired(long token) implements LeaseResult {}

    /**
     * This process does not hold the lease.
     *
     * @param reason why it was not acquired
     */
    record NotAcquired(String reason) implements LeaseResult {}
  }

  /**
   * Publishes this VM's vote on a primary.
   *
   * @param service the service
   * @param vote the vote, which replaces this VM's earlier one
   */
  void publishVote(String service, Vote vote);

  /**
   * Returns the votes that VMs have published recently.
   *
   * @param service the service
   * @return the votes, at most one per VM
   */
  List<Vote> votes(String service);

  /**
   * Returns how long ago the newest vote that reports a primary gone was read.
   *
   * @param service the service
   * @param primary the identifier of the primary
   * @param exceptVm the name of a VM whose vote is left out
   * @return the age in milliseconds, or empty if there is no such vote
   */
  default OptionalLong reportAgeMs(String service, String primary, String exceptVm) {
    boolean reported = votes(service).stream().anyMatch(vote -> vote.isReportOf(primary, exceptVm));
    return reported ? OptionalLong.of(0) : OptionalLong.empty();
  }

  /**
   * Returns the VMs that count as running.
   *
   * @return the failure domain of each VM, keyed by VM name
   */
  Map<String, String> liveVms();

  /**
   * Returns whether the store is reachable.
   *
   * @return true if the store answered the last call
   */
  boolean isReachable();

  /**
   * Returns the lease of a service as this VM last read it.
   *
   * @param service the service
   * @return the lease, or empty if there never was one
   */
  Optional<Lease> lease(String service);

  /**
   * Returns whether a fencing token may still be used. A token that was issued before the store was
   * restored from a copy may not, since the copy may lack the lease.
   *
   * @param token the fencing token of a lease that this process has acquired
   * @return true if no restore has been noticed since the token was issued
   */
  boolean isCurrent(long token);

  /**
   * Acquires the lease if it has not changed since this VM last read it.
   *
   * @param service the service
   * @param holder the name of this process
   * @param previous the identifier of the primary that is to be replaced, or an empty text if none
   *     is known or it is not replaced any more
   * @param done is called once with the result
   */
  void acquireLease(String service, String holder, String previous, Consumer<LeaseResult> done);
}
