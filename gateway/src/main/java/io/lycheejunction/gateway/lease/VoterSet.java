package io.lycheejunction.gateway.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * The VMs that decide together on the replacement of primaries, in groups with a fixed number of
 * seats.
 *
 * <p>A group agrees if the VMs on more than half of its seats do, and a majority of the groups has
 * to agree. A vacant seat neither agrees nor prevents anything. So if one set of VMs decides and
 * another one prevents decisions, they have a VM in common, or a seat has passed from a VM of the
 * one to a VM of the other.
 *
 * @param groupByVm the group of each VM, keyed by VM name
 * @param seatsByGroup the number of seats of each group
 */
public record VoterSet(Map<String, String> groupByVm, Map<String, Integer> seatsByGroup) {
  /** Copies the maps. */
  public VoterSet {
    groupByVm = Map.copyOf(groupByVm);
    seatsByGroup = Map.copyOf(seatsByGroup);
  }

  /**
   * Returns the voters of groups that have as many seats as VMs.
   *
   * @param groupByVm the group of each VM, keyed by VM name
   * @return the voters
   */
  public static VoterSet of(Map<String, String> groupByVm) {
    Objects.requireNonNull(groupByVm, "groupByVm is null");
    Map<String, Integer> seats = new HashMap<>();
    groupByVm.values().forEach(group -> seats.merge(group, 1, Integer::sum));
    return new VoterSet(groupByVm, seats);
  }

  /**
   * Returns whether VMs can decide without all others.
   *
   * @param agreeing the names of the VMs that agree
   * @return true if they are enough
   */
  public boolean decides(Set<String> agreeing) {
    int agreeingGroups = 0;
    for (Map.Entry<String, Integer> group : seatsByGroup.entrySet()) {
      boolean agrees = 2 * count(group.getKey(), agreeing) > group.getValue();
      agreeingGroups += agrees ? 1 : 0;
    }
    return isMajority(agreeingGroups);
  }

  /**
   * Returns whether VMs can prevent a decision of whoever has the other seats.
   *
   * @param refusing the names of the VMs that do not agree
   * @return true if the others are not enough for a decision
   */
  public boolean canPrevent(Set<String> refusing) {
    int possibleGroups = 0;
    for (Map.Entry<String, Integer> group : seatsByGroup.entrySet()) {
      int otherSeats = group.getValue() - count(group.getKey(), refusing);
      possibleGroups += 2 * otherSeats > group.getValue() ? 1 : 0;
    }
    return !isMajority(possibleGroups);
  }

  private int count(String group, Set<String> vms) {
    return (int) vms.stream().filter(vm -> group.equals(groupByVm.get(vm))).count();
  }

  private boolean isMajority(int groups) {
    return 2 * groups > seatsByGroup.size();
  }
}
