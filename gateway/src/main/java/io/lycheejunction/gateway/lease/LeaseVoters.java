package io.lycheejunction.gateway.lease;

import java.util.OptionalLong;

/** The VMs that grant leases on primaries, as this VM knows them. */
public interface LeaseVoters {

  /**
   * Returns the voters that this VM knows.
   *
   * @return the voters, which may include this VM
   */
  VoterSet voters();

  /**
   * Returns how long this process has had a seat without doubt.
   *
   * @return the time, in milliseconds; empty if it has none, or if another VM may have taken it
   */
  OptionalLong seatAgeMs();

  /**
   * Returns how old this VM's knowledge of the voters and the other holders is.
   *
   * @return the time since they were requested from the store, in milliseconds
   */
  long ageMs();

  /** Updates the known voters soon, since those that are known do not suffice for a decision. */
  void refresh();
}
