package io.lycheejunction.core.routing;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The loads of all targets as this proxy has learnt them; safe for concurrent use. */
public final class TargetLoads {
  private final Map<String, TargetLoad> loads = new ConcurrentHashMap<>();

  /** Creates a table without entries. */
  public TargetLoads() {}

  /**
   * Returns what is known of a target.
   *
   * @param target the name of the target
   * @return the load
   */
  public TargetLoad load(String target) {
    return loads.getOrDefault(target, TargetLoad.unknown());
  }

  /**
   * Records an answer of a target.
   *
   * @param target the name of the target
   * @param queued the statements that wait for it
   * @param position the position of the answer
   * @param ageMs the age bound of the answer in milliseconds, if one was proven
   * @param nowMs the monotonic time, in milliseconds
   */
  public void answered(
      String target, int queued, LogPosition position, Optional<Long> ageMs, long nowMs) {
    loads.compute(target, (name, load) -> orUnknown(load).answered(queued, position, ageMs, nowMs));
  }

  /**
   * Records a refusal by a target or its holder.
   *
   * @param target the name of the target
   * @param fault the refusal
   * @param nowMs the monotonic time, in milliseconds
   */
  public void refused(String target, Fault fault, long nowMs) {
    loads.compute(target, (name, load) -> orUnknown(load).refused(fault, nowMs));
  }

  /**
   * Forgets all targets but the given ones.
   *
   * @param targets the names of the targets to keep
   */
  public void retain(Set<String> targets) {
    loads.keySet().retainAll(targets);
  }

  private static TargetLoad orUnknown(TargetLoad load) {
    return load == null ? TargetLoad.unknown() : load;
  }
}
