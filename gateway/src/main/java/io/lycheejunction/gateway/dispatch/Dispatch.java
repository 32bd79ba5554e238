package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.holder.Role;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.TargetHandle;
import io.lycheejunction.gateway.target.Targets;
import java.util.Objects;

/**
 * What the running of statements shares.
 *
 * @param scheduler the gateway's clock
 * @param targets the targets
 * @param positions the proven positions
 * @param direct chooses among targets
 * @param forwarding chooses among VMs that hold connections to targets
 * @param role tells which of the two is in force
 * @param gate holds statements while a group has no primary
 * @param hedging decides about second tries of reads
 * @param doubts are raised by overdue answers
 * @param journal writes down decisions
 */
public record Dispatch(
    Scheduler scheduler,
    Targets targets,
    Positions positions,
    Chooser direct,
    Chooser forwarding,
    Role role,
    PrimaryGate gate,
    Hedging hedging,
    Doubts doubts,
    StatementJournal journal) {
  /** The hint of a refusal while a group has no primary, in milliseconds. */
  public static final long NO_PRIMARY_RETRY_MS = 300;

  /** The hint of a refusal for lack of room, in milliseconds. */
  static final long BUSY_RETRY_MS = 60;

  /** How long a target may take to begin a transaction, which costs it no work. */
  static final long BEGIN_TIMEOUT_MS = 500;

  /** Rejects null components. */
  public Dispatch {
    Objects.requireNonNull(scheduler, "scheduler is null");
    Objects.requireNonNull(targets, "targets is null");
    Objects.requireNonNull(positions, "positions is null");
    Objects.requireNonNull(direct, "direct is null");
    Objects.requireNonNull(forwarding, "forwarding is null");
    Objects.requireNonNull(role, "role is null");
    Objects.requireNonNull(gate, "gate is null");
    Objects.requireNonNull(hedging, "hedging is null");
    Objects.requireNonNull(doubts, "doubts is null");
    Objects.requireNonNull(journal, "journal is null");
  }

  /**
   * Returns what chooses where the statements that start now are sent to.
   *
   * @return the choice in force
   */
  Chooser chooser() {
    return role.isForwarding() ? forwarding : direct;
  }

  /**
   * Returns whether there is any target to send statements to.
   *
   * @return true if so
   */
  public boolean hasTargets() {
    return chooser().hasTargets();
  }

  /**
   * Records the position that a target has shown while it was proven to lead.
   *
   * @param handle the target
   * @param reply its answer
   * @param askedMs the time at which the question was sent, in milliseconds
   */
  void recordProof(TargetHandle handle, LinkReply reply, long askedMs) {
    reply
        .position()
        .ifPresent(
            position -> {
              handle.leads(position.term());
              positions.of(handle.target().service()).record(askedMs, position);
            });
  }

  /**
   * Returns the refusal of a statement that finds no primary.
   *
   * @param service the service
   * @return the fault
   */
  static Fault noPrimary(String service) {
    return new Fault(
        ResultCode.NO_PRIMARY, "no primary of " + service + " is known", NO_PRIMARY_RETRY_MS);
  }
}
