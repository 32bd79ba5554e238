package io.lycheejunction.core.membership;

import io.lycheejunction.core.port.Vm;
import java.util.List;
import java.util.Objects;

/** An event that can change the membership state. */
public sealed interface MembershipEvent {

  /**
   * The platform's list of VMs was read.
   *
   * @param vms the VMs in the list
   */
  record Listed(List<Vm> vms) implements MembershipEvent {
    /** Copies the list. */
    public Listed {
      vms = List.copyOf(vms);
    }
  }

  /**
   * A heartbeat or a reply to one arrived from another proxy.
   *
   * @param heartbeat the message
   */
  record Heard(Heartbeat heartbeat) implements MembershipEvent {
    /** Rejects a null message. */
    public Heard {
      Objects.requireNonNull(heartbeat, "heartbeat is null");
    }
  }

  /**
   * A proxy did not answer a heartbeat.
   *
   * @param name the name of its VM
   */
  record Silent(String name) implements MembershipEvent {
    /** Rejects a null name. */
    public Silent {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * Another VM answered a heartbeat at the address of a proxy.
   *
   * @param name the name of the VM that the heartbeat was addressed to
   */
  record Replaced(String name) implements MembershipEvent {
    /** Rejects a null name. */
    public Replaced {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * A target announced that it is leaving, or withdrew the announcement.
   *
   * @param target the name of the target
   * @param leaving true if the target announces that it is leaving, false if it withdraws that
   */
  record TargetWord(String target, boolean leaving) implements MembershipEvent {
    /** Rejects a null target. */
    public TargetWord {
      Objects.requireNonNull(target, "target is null");
    }
  }

  /** This proxy has started to shut down. */
  record SelfLeaving() implements MembershipEvent {}
}
