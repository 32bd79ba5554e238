package io.lycheejunction.standin.model;

import java.util.List;
import java.util.function.Consumer;

/** Injects faults into the instances of a group. Instances are identified by target name. */
public final class GroupFaults {
  private final GroupModel group;

  GroupFaults(GroupModel group) {
    this.group = group;
  }

  private void update(String target, Consumer<Instance> update) {
    synchronized (group.lock) {
      update.accept(group.upToDateInstance(target));
      group.refresh();
    }
  }

  /**
   * Sets the replication lag: the time until the instance receives an entry from a primary, in
   * addition to the delay of the link.
   *
   * @param target the name of the instance
   * @param lagMs the lag, in milliseconds
   */
  public void setReplicaLagMs(String target, long lagMs) {
    update(target, instance -> instance.replicaLagMs = lagMs);
  }

  /**
   * Sets the apply lag: the time between receiving and applying an entry while the instance is a
   * replica.
   *
   * @param target the name of the instance
   * @param lagMs the lag, in milliseconds
   */
  public void setApplyLagMs(String target, long lagMs) {
    update(target, instance -> instance.applyLagMs = lagMs);
  }

  /**
   * Sets whether the status of the instance announces that it is leaving.
   *
   * @param target the name of the instance
   * @param leaving true if it is leaving
   */
  public void setLeaving(String target, boolean leaving) {
    update(target, instance -> instance.leaving = leaving);
  }

  /**
   * Pauses the instance: requests wait until it is resumed.
   *
   * @param target the name of the instance
   */
  public void pause(String target) {
    update(target, instance -> instance.paused = true);
  }

  /**
   * Resumes a paused instance and runs the requests that arrived meanwhile.
   *
   * @param target the name of the instance
   */
  public void resume(String target) {
    List<Runnable> requests;
    synchronized (group.lock) {
      update(target, instance -> instance.paused = false);
      List<Runnable> pending = group.upToDateInstance(target).pendingRequests;
      requests = List.copyOf(pending);
      pending.clear();
    }
    requests.forEach(Runnable::run);
  }

  /**
   * Crashes the instance: its sessions and pending requests are lost.
   *
   * @param target the name of the instance
   */
  public void crash(String target) {
    update(
        target,
        instance -> {
          instance.crashed = true;
          instance.paused = false;
          instance.sessions.clear();
          instance.pendingRequests.clear();
        });
  }

  /**
   * Restarts a crashed instance, which keeps its log, term and role.
   *
   * @param target the name of the instance
   */
  public void restart(String target) {
    update(target, instance -> instance.crashed = false);
  }

  /**
   * Returns whether the instance is paused.
   *
   * @param target the name of the instance
   * @return true if it is paused
   */
  public boolean isPaused(String target) {
    synchronized (group.lock) {
      return group.upToDateInstance(target).paused;
    }
  }

  /**
   * Returns whether the instance has crashed and not been restarted.
   *
   * @param target the name of the instance
   * @return true if it has crashed
   */
  public boolean isCrashed(String target) {
    synchronized (group.lock) {
      return group.upToDateInstance(target).crashed;
    }
  }

  /**
   * Returns the number of open sessions on the instance.
   *
   * @param target the name of the instance
   * @return the number of sessions
   */
  public int openSessions(String target) {
    synchronized (group.lock) {
      return group.upToDateInstance(target).sessions.size();
    }
  }

  /** Runs the request, defers it while the instance is paused, or drops it after a crash. */
  void submit(String target, Runnable request) {
    synchronized (group.lock) {
      Instance instance = group.upToDateInstance(target);
      if (instance.crashed) {
        return;
      }
      if (instance.paused) {
        instance.pendingRequests.add(request);
        return;
      }
    }
    request.run();
  }
}
