package io.lycheejunction.standin.model;

import io.lycheejunction.core.port.Role;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** The push of primaries' logs to replicas. The caller holds the lock of the group. */
final class Replication {
  private static final int UNMATCHED = -1;

  private static final class Stream {
    private final Instance from;
    private final Instance to;
    private boolean up;
    private long upSinceMs;
    private long lagMs;
    private int next = UNMATCHED;

    Stream(Instance from, Instance to) {
      this.from = from;
      this.to = to;
    }
  }

  private final List<Stream> streams = new ArrayList<>();
  private final List<Instance> instances;
  private final Links links;

  Replication(List<Instance> instances, Links links) {
    this.instances = instances;
    this.links = links;
    for (Instance from : instances) {
      for (Instance to : instances) {
        if (from != to) {
          streams.add(new Stream(from, to));
        }
      }
    }
  }

  /** Delivers and applies what is due, and then takes the state of instances and links anew. */
  void refresh(long nowMs) {
    deliver(nowMs);
    restart(nowMs);
  }

  /** Delivers and applies what is due. */
  void settle(long nowMs) {
    if (deliver(nowMs)) {
      restart(nowMs);
    }
  }

  private void restart(long nowMs) {
    streams.sort(Comparator.comparingLong((Stream s) -> s.from.term).reversed());
    for (Stream stream : streams) {
      boolean up = isUp(stream);
      stream.lagMs =
          stream.to.replicaLagMs
              + links.delayMs(stream.from.spec.failureDomain(), stream.to.spec.failureDomain());
      if (up && !stream.up) {
        stream.upSinceMs = nowMs;
        stream.next = UNMATCHED;
      }
      stream.up = up;
    }
  }

  private boolean isUp(Stream stream) {
    return stream.from.role == Role.PRIMARY
        && stream.from.isRunning()
        && stream.to.isRunning()
        && !links.isCut(stream.from.spec.failureDomain(), stream.to.spec.failureDomain());
  }

  private boolean deliver(long nowMs) {
    boolean demoted = false;
    for (Stream stream : streams) {
      demoted |= stream.up && stream.from.role == Role.PRIMARY && push(stream, nowMs);
    }
    for (Instance instance : instances) {
      if (!instance.crashed) {
        instance.apply(nowMs);
      }
    }
    return demoted;
  }

  private boolean push(Stream stream, long nowMs) {
    Instance from = stream.from;
    Instance to = stream.to;
    if (to.term > from.term || nowMs < stream.upSinceMs + stream.lagMs) {
      return false;
    }
    final boolean demotes = to.term < from.term && to.role == Role.PRIMARY;
    if (to.term < from.term) {
      to.accept(from.term, from.claimant);
    }
    if (stream.next == UNMATCHED) {
      stream.next = commonPrefix(from, to);
    }
    while (stream.next < from.size()) {
      long dueAtMs = Math.max(stream.upSinceMs, from.receivedAtMs(stream.next)) + stream.lagMs;
      if (dueAtMs > nowMs) {
        break;
      }
      copy(from, to, stream.next, dueAtMs);
      stream.next++;
    }
    return demotes;
  }

  private static int commonPrefix(Instance from, Instance to) {
    int length = Math.min(from.size(), to.size());
    while (length > 0
        && !from.entry(length - 1).position().equals(to.entry(length - 1).position())) {
      length--;
    }
    return length;
  }

  private static void copy(Instance from, Instance to, int index, long dueAtMs) {
    LogEntry entry = from.entry(index);
    if (to.size() > index) {
      if (to.entry(index).position().equals(entry.position())) {
        return;
      }
      to.truncate(index);
    }
    to.append(entry, dueAtMs);
  }
}
