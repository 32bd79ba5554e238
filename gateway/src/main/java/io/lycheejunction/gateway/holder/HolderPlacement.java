package io.lycheejunction.gateway.holder;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;

/**
 * Orders the holders for the statements of one organisation to one service, by rendezvous hashing.
 *
 * <p>All VMs that know the same holders use the same order, without messages. When a holder is
 * lost, only the organisations that it was first for move, and they spread over the others.
 */
public final class HolderPlacement {

  private HolderPlacement() {}

  /**
   * Returns the holders in the order in which they are to be used.
   *
   * @param vms the names of the holders
   * @param organisation the name of the organisation
   * @param service the name of the service
   * @return the names, the first choice first
   */
  public static List<String> order(Collection<String> vms, String organisation, String service) {
    Objects.requireNonNull(organisation, "organisation is null");
    Objects.requireNonNull(service, "service is null");
    return vms.stream()
        .sorted(
            Comparator.comparingLong((String vm) -> score(vm, organisation, service))
                .thenComparing(Comparator.naturalOrder()))
        .toList();
  }

  private static long score(String vm, String organisation, String service) {
    String key = vm + '\n' + organisation + '\n' + service;
    return Hashing.murmur3_128().hashString(key, StandardCharsets.UTF_8).asLong();
  }
}
