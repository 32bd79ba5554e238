package io.lycheejunction.standin;

import io.lycheejunction.common.wire.FaultMessage;
import io.lycheejunction.standin.model.Links;
import io.lycheejunction.standin.model.PlatformModel;

/**
 * Applies fault messages to the links, the platform, the groups and the instance servers.
 *
 * @param links the links between failure domains
 * @param platform the platform
 * @param groups the database groups and their instance servers
 * @param probeLoss selects the replies to status requests that are dropped
 */
record Faults(Links links, PlatformModel platform, Groups groups, ProbeLoss probeLoss) {

  /** Applies a fault, or removes one. */
  void apply(FaultMessage message) {
    switch (message) {
      case FaultMessage.Cut(String a, String b) -> links.cut(a, b);
      case FaultMessage.Heal(String a, String b) -> links.heal(a, b);
      case FaultMessage.CutPlatform(String domain) -> links.cutPlatform(domain);
      case FaultMessage.HealPlatform(String domain) -> links.healPlatform(domain);
      case FaultMessage.HealAll all -> links.healAll();
      case FaultMessage.Pause(String target) -> groups.groupOf(target).faults().pause(target);
      case FaultMessage.Resume(String target) -> groups.groupOf(target).faults().resume(target);
      case FaultMessage.Crash(String target) -> groups.server(target).crash();
      case FaultMessage.Restart(String target) -> groups.server(target).restart();
      case FaultMessage.Lag(String target, long lagMs) ->
          groups.groupOf(target).faults().setReplicaLagMs(target, lagMs);
      case FaultMessage.ApplyLag(String target, long lagMs) ->
          groups.groupOf(target).faults().setApplyLagMs(target, lagMs);
      case FaultMessage.TargetLeaving(String target, boolean leaving) ->
          groups.groupOf(target).faults().setLeaving(target, leaving);
      case FaultMessage.VmLeaving(String name, boolean leaving) ->
          platform.setLeaving(name, leaving);
      case FaultMessage.TableDown(boolean down) -> platform.setDown(down);
      case FaultMessage.TableSlow(long slowMs) -> platform.setSlowMs(slowMs);
      case FaultMessage.LoseReplies(int count) -> platform.loseReplies(count);
      case FaultMessage.LoseProbes(long perThousand, long seed) -> probeLoss.set(perThousand, seed);
    }
  }
}
