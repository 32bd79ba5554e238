package io.lycheejunction.gateway.pace;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.link.TargetCommand;
import io.lycheejunction.gateway.pool.ConnectionShare;
import io.lycheejunction.gateway.pool.LinkRequest;
import io.lycheejunction.gateway.pool.LinkResult;
import io.lycheejunction.gateway.pool.PooledLink;
import io.lycheejunction.gateway.pool.TargetPool;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.Optional;
import java.util.SplittableRandom;

/** A VM with a pool of connections to one target; statements arrive at random. */
final class SimulatedHolder {
  static final long TIMEOUT_MS = 800;
  private static final Route ROUTE =
      new Route("db", TestTargets.SERVICE, new ReadRule.Latest(), TIMEOUT_MS, 200, 1);

  private final ManualScheduler scheduler;
  private final SplittableRandom random;
  final TargetPace pace;
  final TargetPool pool;
  int arrived;
  int served;
  int tooLong;
  int expired;
  int lost;
  int withoutRoom;

  SimulatedHolder(
      ManualScheduler scheduler, SimulatedTarget target, PaceMode mode, int holders, long seed) {
    this.scheduler = scheduler;
    this.random = new SplittableRandom(seed);
    this.pace = TargetPace.of(mode, "t-1", SimulatedTarget.SLOTS, scheduler, SlowStartCause.FOUND);
    this.pool =
        new TargetPool(
            TestTargets.target("t-1", true, 1),
            target,
            scheduler,
            ConnectionShare.of(70, holders),
            reason -> {},
            fault -> {},
            pace);
  }

  /** Lets statements arrive until a time. */
  void load(double perSecond, long untilMs) {
    long inMs = Math.round(-Math.log(1 - random.nextDouble()) * 1_000 / perSecond);
    if (scheduler.nowMs() + inMs >= untilMs) {
      return;
    }
    scheduler.schedule(
        inMs,
        () -> {
          arrive();
          load(perSecond, untilMs);
        });
  }

  /** Lets one statement arrive. */
  void arrive() {
    arrived++;
    withoutRoom += pace.hasRoom() ? 0 : 1;
    Statement statement = new Statement(scheduler.nowMs());
    scheduler.schedule(TIMEOUT_MS, statement::expire);
    pool.acquire(statement);
  }

  private final class Statement implements LinkRequest {
    private final long arrivedMs;
    private PooledLink link;
    private boolean ended;

    private Statement(long arrivedMs) {
      this.arrivedMs = arrivedMs;
    }

    @Override
    public SessionState session() {
      return SessionState.empty();
    }

    @Override
    public int priority() {
      return 1;
    }

    @Override
    public long deadlineMs() {
      return arrivedMs + TIMEOUT_MS;
    }

    @Override
    public void granted(PooledLink granted) {
      link = granted;
      TargetCommand command =
          new TargetCommand.Run(
              Optional.of("r"),
              Optional.empty(),
              new CallerStatement.Read("x"),
              Optional.of(ROUTE),
              Optional.empty());
      granted.run(SessionState.empty(), command, this::onResult);
    }

    @Override
    public void refused(Fault fault) {
      ended = true;
      tooLong += fault.code() == ResultCode.WAIT_TOO_LONG ? 1 : 0;
    }

    private void onResult(LinkResult result) {
      ended = true;
      if (result instanceof LinkResult.Replied(LinkReply reply)) {
        served += reply.isDone() ? 1 : 0;
        link.release();
      } else {
        lost++;
      }
    }

    private void expire() {
      if (ended) {
        return;
      }
      ended = true;
      expired++;
      pool.cancel(this);
      if (link != null) {
        link.abandon(Fault.of(ResultCode.STATEMENT_TIMEOUT, "time limit exceeded"));
      }
    }
  }
}
