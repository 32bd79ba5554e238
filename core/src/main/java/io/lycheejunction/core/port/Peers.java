package io.lycheejunction.core.port;

import java.util.List;
import java.util.Optional;

/** Provides the proxies that this proxy considers live and the targets that are leaving. */
public interface Peers {

  /**
   * Returns this proxy's own entry VM.
   *
   * @return the VM
   */
  Vm self();

  /**
   * Returns the entry VMs that are considered live and not leaving, including this one unless it is
   * shutting down.
   *
   * @return the VMs, ordered by name
   */
  List<Vm> live();

  /**
   * Returns the entry VM of the given name, live or leaving.
   *
   * @param name the name
   * @return the VM, or empty if it is not known
   */
  Optional<Vm> find(String name);

  /**
   * Returns whether a target is leaving according to the platform's list, the target's own
   * announcement, another proxy, or an operator's drain.
   *
   * @param target the name of the target
   * @return true if the target must not receive new requests
   */
  boolean isLeaving(String target);

  /**
   * Records that a target has announced that it is leaving, or has withdrawn the announcement.
   *
   * @param target the name of the target
   * @param leaving true if the target announces that it is leaving, false if it withdraws that
   */
  void recordTargetLeaving(String target, boolean leaving);
}
