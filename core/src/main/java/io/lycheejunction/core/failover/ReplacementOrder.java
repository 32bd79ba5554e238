package io.lycheejunction.core.failover;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The order in which VMs may replace the primary of a service, by rendezvous hashing.
 *
 * <p>VMs that know the same VMs agree on the order. The first VM of each failure domain precedes
 * the second one of any, so that the successor of a VM whose failure domain is cut off is in
 * another domain.
 */
public final class ReplacementOrder {

  private ReplacementOrder() {}

  /**
   * Returns the position of a VM in the order.
   *
   * @param vm the name of the VM
   * @param service the service
   * @param failureDomains the failure domain of each VM, keyed by VM name
   * @return the position, 0 for the first VM; the number of VMs if the VM is not among them
   */
  public static int positionOf(String vm, String service, Map<String, String> failureDomains) {
    int position = orderOf(service, failureDomains).indexOf(vm);
    return position < 0 ? failureDomains.size() : position;
  }

  /**
   * Returns the VMs in the order.
   *
   * @param service the service
   * @param failureDomains the failure domain of each VM, keyed by VM name
   * @return the names of the VMs
   */
  public static List<String> orderOf(String service, Map<String, String> failureDomains) {
    Comparator<String> byScore =
        Comparator.comparingLong((String vm) -> score(service, vm))
            .thenComparing(Comparator.naturalOrder());
    Map<String, Integer> numberInDomain = new HashMap<>();
    Map<String, Integer> taken = new HashMap<>();
    for (String vm : failureDomains.keySet().stream().sorted(byScore).toList()) {
      numberInDomain.put(vm, taken.merge(failureDomains.get(vm), 1, Integer::sum));
    }
    return failureDomains.keySet().stream()
        .sorted(Comparator.<String>comparingInt(numberInDomain::get).thenComparing(byScore))
        .toList();
  }

  private static long score(String service, String vm) {
    return Hashing.murmur3_128().hashString(service + '\n' + vm, StandardCharsets.UTF_8).asLong();
  }
}
