package io.lycheejunction.proxy.operator;

import java.util.List;

/**
 * The proxies on which a configuration version is and is not in force.
 *
 * @param inForce the proxies on which it is known to be in force
 * @param notReached the proxies that have not reported the version yet
 */
record RolloutStatus(List<String> inForce, List<String> notReached) {
  /** Copies the lists. */
  RolloutStatus {
    inForce = List.copyOf(inForce);
    notReached = List.copyOf(notReached);
  }

  /** Returns the status on one line. */
  String describe() {
    String names = notReached.isEmpty() ? "" : "; not yet on " + String.join(", ", notReached);
    return "in force on " + inForce.size() + " of " + (inForce.size() + notReached.size()) + names;
  }
}
