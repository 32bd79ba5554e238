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
 * The signs that targets are leaving; immutable.
 *
 * @param listed the names of target VMs that the platform's last list calls leaving
 * @param listedAddresses the addresses of these VMs, without those that another VM has taken over
 * @param words the targets that have said so themselves, with the time in milliseconds
 * @param relayed the targets that other proxies have named, with the time of the sign
 */
public record TargetSigns(
    Set<String> listed,
    Set<String> listedAddresses,
    Map<String, Long> words,
    Map<String, Long> relayed) {
  /** The time for which a sign from another proxy holds without being repeated. */
  public static final long RELAY_MS = 15_000;

  private static final TargetSigns EMPTY = new TargetSigns(Set.of(), Set.of(), Map.of(), Map.of());

  /** Copies the collections. */
  public TargetSigns {
    listed = Set.copyOf(listed);
    listedAddresses = Set.copyOf(listedAddresses);
    words = Map.copyOf(words);
    relayed = Map.copyOf(relayed);
  }

  /**
   * Returns no signs.
   *
   * @return the empty signs
   */
  public static TargetSigns empty() {
    return EMPTY;
  }

  TargetSigns listed(List<Vm> vms, long nowMs) {
    Set<String> names = new HashSet<>();
    Set<String> addresses = new HashSet<>();
    Set<String> taken = new HashSet<>();
    for (Vm vm : vms) {
      if (vm.kind() != Vm.Kind.TARGET) {
        continue;
      }
      if (vm.leaving()) {
        names.add(vm.name());
        addresses.add(vm.address());
      } else {
        taken.add(vm.address());
      }
    }
    addresses.removeAll(taken);
    Map<String, Long> fresh = new HashMap<>(relayed);
    fresh.values().removeIf(atMs -> nowMs - atMs > RELAY_MS);
    return new TargetSigns(names, addresses, words, fresh);
  }

  TargetSigns word(String target, boolean leaving, long nowMs) {
    if (words.containsKey(target) == leaving && (leaving || !relayed.containsKey(target))) {
      return this;
    }
    Map<String, Long> next = new HashMap<>(words);
    Map<String, Long> others = new HashMap<>(relayed);
    if (leaving) {
      next.put(target, nowMs);
    } else {
      next.remove(target);
      others.remove(target);
    }
    return new TargetSigns(listed, listedAddresses, next, others);
  }

  TargetSigns relayed(List<LeavingSign> signs, long nowMs) {
    if (signs.isEmpty()) {
      return this;
    }
    Map<String, Long> next = new HashMap<>(relayed);
    for (LeavingSign sign : signs) {
      if (sign.ageMs() >= 0 && sign.ageMs() <= RELAY_MS) {
        next.merge(sign.target(), nowMs - sign.ageMs(), Math::max);
      }
    }
    return new TargetSigns(listed, listedAddresses, words, next);
  }

  /**
   * Returns whether a target is leaving by the list, its own word or another proxy's.
   *
   * @param target the name of the target
   * @param address its address
   * @param nowMs the monotonic time in milliseconds
   * @return true if any sign says so
   */
  public boolean isLeaving(String target, String address, long nowMs) {
    Long relayedAtMs = relayed.get(target);
    return listed.contains(target)
        || listedAddresses.contains(address)
        || words.containsKey(target)
        || (relayedAtMs != null && nowMs - relayedAtMs <= RELAY_MS);
  }

  /** First-hand signs have no age; relayed ones keep growing older, so that they expire. */
  List<LeavingSign> signs(long nowMs) {
    Map<String, Long> ages = new HashMap<>();
    relayed.forEach((target, atMs) -> ages.put(target, nowMs - atMs));
    listed.forEach(target -> ages.put(target, 0L));
    words.keySet().forEach(target -> ages.put(target, 0L));
    Stream<LeavingSign> signs =
        ages.entrySet().stream().map(e -> new LeavingSign(e.getKey(), e.getValue()));
    return signs
        .filter(sign -> sign.ageMs() <= RELAY_MS)
        .sorted(Comparator.comparingLong(LeavingSign::ageMs).thenComparing(LeavingSign::target))
        .limit(Heartbeat.MAX_SIGNS)
        .toList();
  }
}
