package io.lycheejunction.proxy.group;

import java.util.Objects;

/**
 * Asks the proxy that holds the connections to a primary to refuse new writes temporarily.
 *
 * @param group the name of the group
 * @param term the term of the primary
 * @param durationMs how long to refuse new writes, in milliseconds; 0 ends the refusal
 */
record FreezeCall(String group, long term, long durationMs) {
  FreezeCall {
    Objects.requireNonNull(group, "group is null");
  }
}
