package io.lycheejunction.gateway.failover;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** What the VMs tell each other about primaries, kept in the platform's store. */
public interface FailoverBoard {

  /** How an attempt to take a lease ended. */
  sealed interface Claim {

    /**
     * The lease is held.
     *
     * @param token the fencing token
     */
    record Held(long token) implements Claim {}

    /**
     * The lease is not held.
     *
     * @param reason why
     */
    record Missed(String reason) implements Claim {}
  }

  /**
   * Publishes what this VM sees.
   *
   * @param service the service
   * @param vote the vote, which replaces an earlier one of this VM
   */
  void vote(String service, Vote vote);

  /**
   * Returns what VMs have published lately.
   *
   * @param service the service
   * @return the votes, one a VM
   */
  List<Vote> votes(String service);

  /**
   * Returns the VMs that have shown themselves lately.
   *
   * @return the failure domain of each VM, by its name
   */
  Map<String, String> presentVms();

  /**
   * Returns whether the store answered the last call.
   *
   * @return true if so
   */
  boolean isReachable();

  /**
   * Returns the lease of a service as this VM last saw it.
   *
   * @param service the service
   * @return the lease, or empty if there never was one
   */
  Optional<Lease> lease(String service);

  /**
   * Takes the lease if it is still as this VM last saw it.
   *
   * @param service the service
   * @param holder the name of this process
   * @param previous the identifier of the primary that is to be replaced
   * @param done is told once how it ended
   */
  void takeLease(String service, String holder, String previous, Consumer<Claim> done);
}
