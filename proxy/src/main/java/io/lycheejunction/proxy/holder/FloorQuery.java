package io.lycheejunction.proxy.holder;

import java.util.Objects;

/**
 * A request to the holder of a primary for a position that includes every acknowledged write of the
 * group.
 *
 * @param group the name of the group
 * @param remainingMs the time that remains to the request's deadline, in milliseconds
 */
record FloorQuery(String group, long remainingMs) {
  /** Rejects a null group. */
  FloorQuery {
    Objects.requireNonNull(group, "group is null");
  }
}
