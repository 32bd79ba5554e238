package io.lycheejunction.core.port;

import java.util.List;
import java.util.Optional;

/** Gives the proxies and targets that this proxy takes to be live. */
public interface Peers {

  /**
   * Returns this proxy's own entry VM.
   *
   * @return the VM
   */
  Vm self();

  /**
   * Returns the entry VMs that are taken to be live and not leaving, this one among them while it
   * is not shutting down.
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
   * Returns whether a target is leaving by any sign: the platform's list, the target's own word, or
   * an operator's drain.
   *
   * @param target the name of the target
   * @return true if the target must get no new work
   */
  boolean isLeaving(String target);

  /**
   * Records that a target has announced that it is leaving, or has withdrawn that.
   *
   * @param target the name of the target
   * @param leaving the target's word
   */
  void targetSays(String target, boolean leaving);
}
