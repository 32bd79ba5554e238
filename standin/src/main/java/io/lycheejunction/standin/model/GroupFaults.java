package io.lycheejunction.standin.model;

import java.util.List;
import java.util.function.Consumer;

/** Sets faults of a group's instances; each is named by its target name. */
public final class GroupFaults {
  private final GroupModel group;

  GroupFaults(GroupModel group) {
    this.group = group;
  }

  private void change(String target, Consumer<Instance> change) {
    synchronized (group.lock) {
      change.accept(group.settled(target));
      group.refresh();
    }
  }

  /**
   * Sets the time that an entry takes from a primary to the instance.
   *
   * @param target the instance
   * @param lagMs the time, in milliseconds
   */
  public void replicaLag(String target, long lagMs) {
    change(target, instance -> instance.replicaLagMs = lagMs);
  }

  /**
   * Sets the time that the instance takes to apply an entry after receiving it.
   *
   * @param target the instance
   * @param lagMs the time, in milliseconds
   */
  public void applyLag(String target, long lagMs) {
    change(target, instance -> instance.applyLagMs = lagMs);
  }

  /**
   * Sets whether the instance announces that it is leaving.
   *
   * @param target the instance
   * @param leaving true if it is leaving
   */
  public void leaving(String target, boolean leaving) {
    change(target, instance -> instance.leaving = leaving);
  }

  /**
   * Stops the instance's process for a while; requests wait until it is resumed.
   *
   * @param target the instance
   */
  public void pause(String target) {
    change(target, instance -> instance.paused = true);
  }

  /**
   * Resumes a paused instance and serves the requests that waited.
   *
   * @param target the instance
   */
  public void resume(String target) {
    List<Runnable> waiting;
    synchronized (group.lock) {
      change(target, instance -> instance.paused = false);
      List<Runnable> pending = group.settled(target).pending;
      waiting = List.copyOf(pending);
      pending.clear();
    }
    waiting.forEach(Runnable::run);
  }

  /**
   * Ends the instance's process; its sessions and waiting requests are lost.
   *
   * @param target the instance
   */
  public void crash(String target) {
    change(
        target,
        instance -> {
          instance.crashed = true;
          instance.paused = false;
          instance.sessions.clear();
          instance.pending.clear();
        });
  }

  /**
   * Starts a crashed instance again, with its log, term and role.
   *
   * @param target the instance
   */
  public void restart(String target) {
    change(target, instance -> instance.crashed = false);
  }

  /**
   * Returns whether the instance is paused.
   *
   * @param target the instance
   * @return true if it is paused
   */
  public boolean isPaused(String target) {
    synchronized (group.lock) {
      return group.settled(target).paused;
    }
  }

  /**
   * Returns whether the instance has crashed and not been restarted.
   *
   * @param target the instance
   * @return true if it is down
   */
  public boolean isCrashed(String target) {
    synchronized (group.lock) {
      return group.settled(target).crashed;
    }
  }

  /**
   * Returns the number of open sessions on the instance.
   *
   * @param target the instance
   * @return the number of sessions
   */
  public int openSessions(String target) {
    synchronized (group.lock) {
      return group.settled(target).sessions.size();
    }
  }

  /** Runs the request now, or on resumption while the instance is paused. */
  void submit(String target, Runnable request) {
    synchronized (group.lock) {
      Instance instance = group.settled(target);
      if (instance.crashed) {
        return;
      }
      if (instance.paused) {
        instance.pending.add(request);
        return;
      }
    }
    request.run();
  }
}
