package io.lycheejunction.core.membership;

import io.lycheejunction.core.port.Vm;
import java.util.List;
import java.util.Objects;

/** What can change the membership. */
public sealed interface MembershipEvent {

  /**
   * The platform's list was read.
   *
   * @param vms the VMs that it has
   */
  record Listed(List<Vm> vms) implements MembershipEvent {
    /** Copies the list. */
    public Listed {
      vms = List.copyOf(vms);
    }
  }

  /**
   * A message or a reply of another proxy arrived.
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
   * A proxy did not answer.
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
   * Another VM answered at the address of a proxy.
   *
   * @param name the name of the VM that was meant
   */
  record Replaced(String name) implements MembershipEvent {
    /** Rejects a null name. */
    public Replaced {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * A target announced that it is leaving, or withdrew that.
   *
   * @param target the name of the target
   * @param leaving the target's word
   */
  record TargetWord(String target, boolean leaving) implements MembershipEvent {
    /** Rejects a null target. */
    public TargetWord {
      Objects.requireNonNull(target, "target is null");
    }
  }

  /** This proxy begins to shut down. */
  record SelfLeaving() implements MembershipEvent {}
}
