package io.lycheejunction.gateway.failover;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.StatusReport;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.link.TargetLinkOpener;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.schedule.Scheduler;
import io.lycheejunction.gateway.target.TargetHandle;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** Asks targets for their status in parallel and collects the answers until a timeout. */
final class StatusRound {
  private final Scheduler scheduler;
  private final TargetLinkOpener linkOpener;
  private final TargetCommand command;
  private final List<Candidate> answers = new ArrayList<>();
  private final Consumer<List<Candidate>> done;
  private Scheduler.Timer timeout;
  private int pending;
  private boolean ended;

  private StatusRound(
      Scheduler scheduler,
      TargetLinkOpener linkOpener,
      TargetCommand command,
      Consumer<List<Candidate>> done) {
    this.scheduler = scheduler;
    this.linkOpener = linkOpener;
    this.command = command;
    this.done = done;
  }

  /**
   * Sends a command to all targets.
   *
   * @param scheduler the clock and the timers of the gateway's thread
   * @param linkOpener decodes the replies
   * @param targets the targets to ask
   * @param command the command, to which a target replies with its status
   * @param timeoutMs how long to wait for answers, in milliseconds
   * @param done is called once with the answers received in time
   */
  static void start(
      Scheduler scheduler,
      TargetLinkOpener linkOpener,
      List<TargetHandle> targets,
      TargetCommand command,
      long timeoutMs,
      Consumer<List<Candidate>> done) {
    StatusRound round = new StatusRound(scheduler, linkOpener, command, done);
    round.pending = targets.size();
    round.timeout = scheduler.schedule(timeoutMs, round::end);
    if (targets.isEmpty()) {
      round.end();
      return;
    }
    targets.forEach(target -> round.ask(target, scheduler.nowMs() + timeoutMs));
  }

  private void ask(TargetHandle target, long untilMs) {
    target.pool().acquire(new StatusRequest(target, untilMs));
  }

  private void onTargetDone() {
    pending--;
    if (pending == 0) {
      end();
    }
  }

  private void end() {
    if (!ended) {
      ended = true;
      timeout.cancel();
      done.accept(List.copyOf(answers));
    }
  }

  private final class StatusRequest implements LinkRequest {
    private final TargetHandle target;
    private final long untilMs;
    private boolean replied;

    private StatusRequest(TargetHandle target, long untilMs) {
      this.target = target;
      this.untilMs = untilMs;
    }

    @Override
    public SessionState session() {
      return SessionState.empty();
    }

    @Override
    public int priority() {
      return INTERNAL_PRIORITY;
    }

    @Override
    public long deadlineMs() {
      return untilMs;
    }

    @Override
    public void granted(PooledLink link) {
      link.run(SessionState.empty(), command, result -> onResult(link, result));
      scheduler.schedule(Math.max(1, untilMs - scheduler.nowMs()), () -> onTimeout(link));
    }

    @Override
    public void refused(Fault fault) {
      target.recordFault(fault, scheduler.nowMs());
      onTargetDone();
    }

    private void onTimeout(PooledLink link) {
      if (!replied) {
        link.abandon(Fault.of(ResultCode.TARGET_UNREACHABLE, "no status within the time limit"));
      }
    }

    private void onResult(PooledLink link, LinkResult result) {
      replied = true;
      if (result instanceof LinkResult.Replied(LinkReply reply)) {
        link.release();
        target.recordAnswer(scheduler.nowMs());
        linkOpener.statusOf(reply).ifPresent(this::addAnswer);
      }
      onTargetDone();
    }

    private void addAnswer(StatusReport report) {
      answers.add(new Candidate(target, report.received(), report.term(), report.primary()));
    }
  }
}
