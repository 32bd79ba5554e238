package io.lycheejunction.standin;

import io.lycheejunction.core.clock.RuntimeClock;
import io.lycheejunction.standin.model.Links;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;

/**
 * The simulated network between the processes: it maps addresses to failure domains.
 *
 * @param domains the failure domains; {@code 127.0.N.x} is in the N-th, counted from 1
 * @param links the links between the failure domains
 * @param clock the runtime clock
 */
record Network(List<String> domains, Links links, RuntimeClock clock) {
  private static final int DOMAIN_OCTET_INDEX = 2;

  Network {
    domains = List.copyOf(domains);
  }

  /** Returns the failure domain of an address, or {@link Links#CLIENT} if it is in none. */
  String domainOf(InetSocketAddress address) {
    return domainOf(address.getAddress());
  }

  /** Returns the failure domain of an address, or {@link Links#CLIENT} if it is in none. */
  String domainOf(InetAddress address) {
    byte[] bytes = address.getAddress();
    if (!address.isLoopbackAddress() || bytes.length != Integer.BYTES) {
      return Links.CLIENT;
    }
    int index = Byte.toUnsignedInt(bytes[DOMAIN_OCTET_INDEX]) - 1;
    return index >= 0 && index < domains.size() ? domains.get(index) : Links.CLIENT;
  }

  /** Sleeps for the duration; returns at once if it is not positive. */
  void sleepMs(long durationMs) throws InterruptedException {
    if (durationMs > 0) {
      clock.sleepMs(durationMs);
    }
  }
}
