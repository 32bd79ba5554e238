package io.lycheejunction.proxy.group;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the state of each group; safe for use by several threads. */
final class GroupStates {
  private final Map<String, GroupState> states = new ConcurrentHashMap<>();

  /**
   * Returns the state of a group, new if there was none.
   *
   * @param group the name of the group
   * @return the state
   */
  GroupState of(String group) {
    return states.computeIfAbsent(group, GroupState::new);
  }
}
