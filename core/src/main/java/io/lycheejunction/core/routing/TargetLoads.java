package io.lycheejunction.core.routing;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The loads of all targets, as this proxy infers them; safe for concurrent use. */
public final class TargetLoads {
  private final Map<String, TargetLoad> loads = new ConcurrentHashMap<>();

  /** Creates a table without entries. */
  public TargetLoads() {}

  /**
   * Returns the load of a target.
   *
   * @param target the name of the target
   * @return the load, {@link TargetLoad#unknown} before the first answer or refusal
   */
  public TargetLoad load(String target) {
    return loads.getOrDefault(target, TargetLoad.unknown());
  }

  /**
   * Records an answer of a target.
   *
   * @param target the name of the target
   * @param queued the number of statements that wait for the target
   * @param position the position that the target had applied
   * @param ageMs the proven upper bound for the data's age in milliseconds, if there is one
   * @param nowMs the monotonic time, in milliseconds
   */
  public void recordAnswer(
      String target, int queued, LogPosition position, Optional<Long> ageMs, long nowMs) {
    loads.compute(
        target, (name, load) -> orUnknown(load).afterAnswer(queued, position, ageMs, nowMs));
  }

  /**
   * Records a refusal by a target or its holder.
   *
   * @param target the name of the target
   * @param fault the reason for the refusal
   * @param nowMs the monotonic time, in milliseconds
   */
  public void recordRefusal(String target, Fault fault, long nowMs) {
    loads.compute(target, (name, load) -> orUnknown(load).afterRefusal(fault, nowMs));
  }

  /**
   * Removes the loads of all targets but the given ones.
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
