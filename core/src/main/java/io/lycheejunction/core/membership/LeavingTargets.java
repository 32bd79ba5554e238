package io.lycheejunction.core.membership;

import io.lycheejunction.core.port.Vm;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * The targets that are known to be leaving, by source of the information; immutable.
 *
 * @param listed the names of the target VMs that the platform's latest list marks as leaving
 * @param listedAddresses the addresses of these VMs, except those at which another VM is listed as
 *     not leaving
 * @param announced the targets that have announced it themselves, with the monotonic time of the
 *     announcement in milliseconds
 * @param relayed the targets that other proxies have reported, with the monotonic time of the
 *     original information in milliseconds
 */
public record LeavingTargets(
    Set<String> listed,
    Set<String> listedAddresses,
    Map<String, Long> announced,
    Map<String, Long> relayed) {
  /** The time after which information relayed by other proxies expires unless it is repeated. */
  public static final long RELAY_MS = 15_000;

  private static final LeavingTargets EMPTY =
      new LeavingTargets(Set.of(), Set.of(), Map.of(), Map.of());

  /** Copies the collections. */
  public LeavingTargets {
    listed = Set.copyOf(listed);
    listedAddresses = Set.copyOf(listedAddresses);
    announced = Map.copyOf(announced);
    relayed = Map.copyOf(relayed);
  }

  /**
   * Returns the value in which no target is leaving.
   *
   * @return the empty value
   */
  public static LeavingTargets empty() {
    return EMPTY;
  }

  LeavingTargets withListed(List<Vm> vms, long nowMs) {
    Set<String> names = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    Set<String> addressesInUse = new HashSet<>();
    for (Vm vm : vms) {
      if (vm.kind() != Vm.Kind.TARGET) {
        continue;
      }
      if (vm.leaving()) {
        names.add(vm.name());
        addresses.add(vm.address());
      } else {
        addressesInUse.add(vm.address());
      }
    }
    addresses.removeAll(addressesInUse);
    Map<String, Long> unexpired = new HashMap<>(relayed);
    unexpired.values().removeIf(atMs -> nowMs - atMs > RELAY_MS);
    return new LeavingTargets(names, addresses, announced, unexpired);
  }

  LeavingTargets withAnnouncement(String target, boolean leaving, long nowMs) {
    if (announced.containsKey(target) == leaving && (leaving || !relayed.containsKey(target))) {
      return this;
    }
    Map<String, Long> nextAnnounced = new HashMap<>(announced);
    Map<String, Long> nextRelayed = new HashMap<>(relayed);
    if (leaving) {
      nextAnnounced.put(target, nowMs);
    } else {
      nextAnnounced.remove(target);
      nextRelayed.remove(target);
    }
    return new LeavingTargets(listed, listedAddresses, nextAnnounced, nextRelayed);
  }

  LeavingTargets withRelayed(List<LeavingSign> signs, long nowMs) {
    if (signs.isEmpty()) {
      return this;
    }
    Map<String, Long> next = new HashMap<>(relayed);
    for (LeavingSign sign : signs) {
      if (sign.ageMs() >= 0 && sign.ageMs() <= RELAY_MS) {
        next.merge(sign.target(), nowMs - sign.ageMs(), Math::max);
      }
    }
    return new LeavingTargets(listed, listedAddresses, announced, next);
  }

  /**
   * Returns whether a target is leaving according to the platform's list, its own announcement or
   * another proxy.
   *
   * @param target the name of the target
   * @param address its address
   * @param nowMs the monotonic time in milliseconds
   * @return true if at least one source says so
   */
  public boolean isLeaving(String target, String address, long nowMs) {
    Long relayedAtMs = relayed.get(target);
    return listed.contains(target)
        || listedAddresses.contains(address)
        || announced.containsKey(target)
        || (relayedAtMs != null && nowMs - relayedAtMs <= RELAY_MS);
  }

  /**
   * Returns the signs to send to other proxies. Signs that this proxy has first-hand have age 0;
   * relayed signs keep their age, so that they expire instead of circulating between proxies.
   */
  List<LeavingSign> signs(long nowMs) {
    Map<String, Long> ages = new HashMap<>();
    relayed.forEach((target, atMs) -> ages.put(target, nowMs - atMs));
    listed.forEach(target -> ages.put(target, 0L));
    announced.keySet().forEach(target -> ages.put(target, 0L));
    Stream<LeavingSign> signs =
        ages.entrySet().stream().map(age -> new LeavingSign(age.getKey(), age.getValue()));
    return signs
        .filter(sign -> sign.ageMs() <= RELAY_MS)
        .sorted(Comparator.comparingLong(LeavingSign::ageMs).thenComparing(LeavingSign::target))
        .limit(Heartbeat.MAX_SIGNS)
        .toList();
  }
}
