package io.lycheejunction.standin.model;

import io.lycheejunction.core.port.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Replication of the logs of primaries to the other instances. Guarded by the group's lock. */
final class Replication {
  /** The common prefix of the two logs is not determined yet. */
  private static final int NOT_MATCHED = -1;

  /** Replication from one instance to another; active while the source is a primary. */
  private static final class LogStream {
    private final Instance from;
    private final Instance to;
    private boolean connected;
    private long connectedSinceMs;
    private long lagMs;
    private int nextIndex = NOT_MATCHED;

    LogStream(Instance from, Instance to) {
      this.from = from;
      this.to = to;
    }
  }

  private final List<LogStream> streams = new ArrayList<>();
  private final List<Instance> instances;
  private final Links links;

  Replication(List<Instance> instances, Links links) {
    this.instances = instances;
    this.links = links;
    for (Instance from : instances) {
      for (Instance to : instances) {
        if (from != to) {
          streams.add(new LogStream(from, to));
        }
      }
    }
  }

  /** Delivers and applies all due entries, then updates the streams to the current links. */
  void refresh(long nowMs) {
    deliver(nowMs);
    updateStreams(nowMs);
  }

  /** Delivers and applies all due entries; updates the streams if a primary was demoted. */
  void deliverDue(long nowMs) {
    if (deliver(nowMs)) {
      updateStreams(nowMs);
    }
  }

  private void updateStreams(long nowMs) {
    streams.sort(Comparator.comparingLong((LogStream stream) -> stream.from.term).reversed());
    for (LogStream stream : streams) {
      boolean connected = canReplicate(stream);
      stream.lagMs =
          stream.to.replicaLagMs
              + links.delayMs(stream.from.spec.failureDomain(), stream.to.spec.failureDomain());
      if (connected && !stream.connected) {
        stream.connectedSinceMs = nowMs;
        stream.nextIndex = NOT_MATCHED;
      }
      stream.connected = connected;
    }
  }

  private boolean canReplicate(LogStream stream) {
    return stream.from.role == Role.PRIMARY
        && stream.from.isRunning()
        && stream.to.isRunning()
        && !links.isCut(stream.from.spec.failureDomain(), stream.to.spec.failureDomain());
  }

  private boolean deliver(long nowMs) {
    boolean primaryDemoted = false;
    for (LogStream stream : streams) {
      primaryDemoted |= stream.connected && stream.from.role == Role.PRIMARY && send(stream, nowMs);
    }
    for (Instance instance : instances) {
      if (!instance.crashed) {
        instance.apply(nowMs);
      }
    }
    return primaryDemoted;
  }

  private boolean send(LogStream stream, long nowMs) {
    Instance from = stream.from;
    Instance to = stream.to;
    if (to.term > from.term || nowMs < stream.connectedSinceMs + stream.lagMs) {
      return false;
    }
    final boolean demotesPrimary = to.term < from.term && to.role == Role.PRIMARY;
    if (to.term < from.term) {
      to.acceptTerm(from.term, from.claimant);
    }
    if (stream.nextIndex == NOT_MATCHED) {
      stream.nextIndex = commonPrefix(from, to);
    }
    while (stream.nextIndex < from.logSize()) {
      long dueAtMs =
          Math.max(stream.connectedSinceMs, from.receivedAtMs(stream.nextIndex)) + stream.lagMs;
      if (dueAtMs > nowMs) {
        break;
      }
      copy(from, to, stream.nextIndex, dueAtMs);
      stream.nextIndex++;
    }
    return demotesPrimary;
  }

  private static int commonPrefix(Instance from, Instance to) {
    int length = Math.min(from.logSize(), to.logSize());
    while (length > 0
        && !from.entry(length - 1).position().equals(to.entry(length - 1).position())) {
      length--;
    }
    return length;
  }

  private static void copy(Instance from, Instance to, int index, long dueAtMs) {
    LogEntry entry = from.entry(index);
    if (to.logSize() > index) {
      if (to.entry(index).position().equals(entry.position())) {
        return;
      }
      to.truncate(index);
    }
    to.append(entry, dueAtMs);
  }
}
