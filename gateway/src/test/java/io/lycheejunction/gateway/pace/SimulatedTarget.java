package io.lycheejunction.gateway.pace;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.StatusReport;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TargetLink;
import io.lycheejunction.gateway.link.TargetLinkOpener;
import io.lycheejunction.gateway.link.TransactionState;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.target.Target;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/** A target with slots and a queue of limited length; a new connection takes a slot for 12 ms. */
final class SimulatedTarget implements TargetLinkOpener {
  static final int SLOTS = 4;
  private static final int QUEUE = 8;
  private static final long CONNECT_MS = 12;
  private static final long ONE_WAY_MS = 1;

  private record Job(long durationMs, Runnable done) {}

  private final ManualScheduler scheduler;
  private final LongSupplier serviceMs;
  private final Deque<Job> queue = new ArrayDeque<>();
  private int running;
  private long busyMs;
  private boolean silent;
  int arrivals;
  int refused;
  int completed;

  SimulatedTarget(ManualScheduler scheduler, LongSupplier serviceMs) {
    this.scheduler = scheduler;
    this.serviceMs = serviceMs;
  }

  /** Stops or resumes answering. */
  void setSilent(boolean nowSilent) {
    silent = nowSilent;
  }

  int running() {
    return running;
  }

  /** Returns the share of the time in which the slots ran statements. */
  double busyShare(long durationMs) {
    return (double) busyMs / durationMs / SLOTS;
  }

  double refusedShare() {
    return (double) refused / arrivals;
  }

  @Override
  public TargetLink open(Target target, Optional<String> organisation, Listener listener) {
    Runnable greet = () -> reply(() -> listener.opened(answer(Optional.empty())));
    scheduler.schedule(ONE_WAY_MS, () -> add(new Job(CONNECT_MS, greet)));
    return new TargetLink() {
      @Override
      public void send(List<TargetCommand> commands) {
        commands.forEach(command -> scheduler.schedule(ONE_WAY_MS, () -> onStatement(listener)));
      }

      @Override
      public void close() {}
    };
  }

  @Override
  public boolean isPerOrganisation() {
    return false;
  }

  @Override
  public Optional<StatusReport> statusOf(LinkReply reply) {
    return Optional.empty();
  }

  private void onStatement(Listener listener) {
    arrivals++;
    if (running >= SLOTS && queue.size() >= QUEUE) {
      refused++;
      Fault fault = Fault.of(ResultCode.TARGET_BUSY, "no free slot");
      reply(() -> listener.replied(answer(Optional.of(fault))));
      return;
    }
    long durationMs = serviceMs.getAsLong();
    add(
        new Job(
            durationMs,
            () -> {
              busyMs += durationMs;
              completed++;
              reply(() -> listener.replied(answer(Optional.empty())));
            }));
  }

  private void add(Job job) {
    if (running >= SLOTS) {
      queue.addLast(job);
      return;
    }
    running++;
    scheduler.schedule(job.durationMs(), () -> end(job));
  }

  private void end(Job job) {
    running--;
    job.done().run();
    if (!queue.isEmpty()) {
      add(queue.removeFirst());
    }
  }

  private void reply(Runnable reply) {
    if (!silent) {
      scheduler.schedule(ONE_WAY_MS, reply);
    }
  }

  private static LinkReply answer(Optional<Fault> fault) {
    return new LinkReply(
        List.of(), Optional.empty(), fault, TransactionState.NONE, Optional.empty());
  }
}
