package io.lycheejunction.core.routing;

import com.google.common.hash.Hashing;
import io.lycheejunction.core.configuration.TargetSpec;
import io.lycheejunction.core.port.Vm;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Selects the one proxy that holds the connections to a target, by rendezvous hashing. */
public final class HolderChoice {

  private HolderChoice() {}

  /**
   * Returns the proxy that holds the connections to the target: a proxy in the target's failure
   * domain, or in any domain if the target's has no live proxy.
   *
   * @param target the target
   * @param live the live proxies
   * @return the holder, or empty if no proxy is live
   */
  public static Optional<Vm> holderOf(TargetSpec target, List<Vm> live) {
    List<Vm> sameDomain =
        live.stream().filter(vm -> vm.failureDomain().equals(target.failureDomain())).toList();
    List<Vm> eligible = sameDomain.isEmpty() ? live : sameDomain;
    return eligible.stream()
        .max(
            Comparator.comparingLong((Vm vm) -> score(vm.name(), target.name()))
                .thenComparing(Vm::name));
  }

  private static long score(String vm, String target) {
    return Hashing.murmur3_128().hashString(vm + '\n' + target, StandardCharsets.UTF_8).asLong();
  }
}
