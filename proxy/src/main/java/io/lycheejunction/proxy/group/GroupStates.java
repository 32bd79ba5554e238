package io.lycheejunction.proxy.group;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** The states of all groups; thread-safe. */
final class GroupStates {
  private final Map<String, GroupState> states = new ConcurrentHashMap<>();

  /**
   * Returns the state of a group and creates it if there is none.
   *
   * @param group the name of the group
   * @return the state
   */
  GroupState of(String group) {
    return states.computeIfAbsent(group, GroupState::new);
  }
}
