package io.lycheejunction.standin;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.model.Links;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The network that the processes see.
 *
 * @param domains the failure domains in the order of their addresses
 * @param links the links between them
 * @param clock the runtime clock
 */
record Network(List<String> domains, Links links, RuntimeClock clock) {
  private static final int DOMAIN_BYTE = 2;

  Network {
    domains = List.copyOf(domains);
  }

  /** Returns the failure domain that an address is in, or {@link Links#CLIENT}. */
  String domainOf(InetSocketAddress address) {
    return domainOf(address.getAddress());
  }

  /** Returns the failure domain that an address is in, or {@link Links#CLIENT}. */
  String domainOf(InetAddress address) {
    byte[] bytes = address.getAddress();
    if (!address.isLoopbackAddress() || bytes.length != Integer.BYTES) {
      return Links.CLIENT;
    }
    int index = Byte.toUnsignedInt(bytes[DOMAIN_BYTE]) - 1;
    return index >= 0 && index < domains.size() ? domains.get(index) : Links.CLIENT;
  }

  void sleepMs(long durationMs) throws InterruptedException {
    if (durationMs > 0) {
      clock.sleepMs(durationMs);
    }
  }
}
