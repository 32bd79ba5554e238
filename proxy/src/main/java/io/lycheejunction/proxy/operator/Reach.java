package io.lycheejunction.proxy.operator;

import java.util.List;

/**
 * How far a configuration version has come.
 *
 * @param inForce the proxies on which it is known to be in force
 * @param notReached the other proxies
 */
record Reach(List<String> inForce, List<String> notReached) {
  /** Copies the lists. */
  Reach {
    inForce = List.copyOf(inForce);
    notReached = List.copyOf(notReached);
  }

  /** Returns the reach on one line. */
  String describe() {
    String names = notReached.isEmpty() ? "" : "; not yet on " + String.join(", ", notReached);
    return "in force on " + inForce.size() + " of " + (inForce.size() + notReached.size()) + names;
  }
}
