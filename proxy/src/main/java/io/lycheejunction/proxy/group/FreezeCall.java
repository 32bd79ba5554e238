package io.lycheejunction.proxy.group;

import java.util.Objects;

/**
 * Asks the proxy that holds a primary to refuse new writes for a while.
 *
 * @param group the name of the group
 * @param term the term of the primary
 * @param durationMs the time, in milliseconds
 */
record FreezeCall(String group, long term, long durationMs) {
  FreezeCall {
    Objects.requireNonNull(group, "group is null");
  }
}
