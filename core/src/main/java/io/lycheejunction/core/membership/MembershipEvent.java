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
  record VmListRead(List<Vm> vms) implements MembershipEvent {
    /** Copies the list. */
    public VmListRead {
      vms = List.copyOf(vms);
    }
  }

  /**
   * A heartbeat or a reply to one arrived from another proxy.
   *
   * @param heartbeat the message
   */
  record HeartbeatReceived(Heartbeat heartbeat) implements MembershipEvent {
    /** Rejects a null message. */
    public HeartbeatReceived {
      Objects.requireNonNull(heartbeat, "heartbeat is null");
    }
  }

  /**
   * A proxy did not answer a heartbeat.
   *
   * @param name the name of its VM
   */
  record HeartbeatUnanswered(String name) implements MembershipEvent {
    /** Rejects a null name. */
    public HeartbeatUnanswered {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * Another VM answered a heartbeat at the address of a proxy.
   *
   * @param name the name of the VM that the heartbeat was addressed to
   */
  record VmReplaced(String name) implements MembershipEvent {
    /** Rejects a null name. */
    public VmReplaced {
      Objects.requireNonNull(name, "name is null");
    }
  }

  /**
   * A target announced that it is leaving, or withdrew the announcement.
   *
   * @param target the name of the target
   * @param leaving true if the target announces that it is leaving, false if it withdraws that
   */
  record TargetAnnouncement(String target, boolean leaving) implements MembershipEvent {
    /** Rejects a null target. */
    public TargetAnnouncement {
      Objects.requireNonNull(target, "target is null");
    }
  }

  /** This proxy has started to shut down. */
  record ShutdownStarted() implements MembershipEvent {}
}
