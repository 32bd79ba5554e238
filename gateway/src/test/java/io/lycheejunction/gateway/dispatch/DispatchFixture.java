package io.lycheejunction.gateway.dispatch;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.statement.CallerStatement;
import io.lycheejunction.core.statement.SessionState;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.holder.Role;
import io.lycheejunction.gateway.lease.PrimaryUse;
import io.lycheejunction.gateway.link.FakeLinks;
import io.lycheejunction.gateway.link.LinkReply;
import io.lycheejunction.gateway.metrics.GatewayMetrics;
import io.lycheejunction.gateway.route.ReadRule;
import io.lycheejunction.gateway.route.Route;
import io.lycheejunction.gateway.schedule.ManualScheduler;
import io.lycheejunction.gateway.target.Targets;
import io.lycheejunction.gateway.target.TestTargets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** A group with primary i-1 and replicas i-2 and i-3; this VM is in the failure domain of i-2. */
public final class DispatchFixture {

  /** Records the outcome of a statement. */
  public static final class RecordedOutcome implements Completion {
    private final List<LinkReply> replies = new ArrayList<>();
    private final List<Fault> faults = new ArrayList<>();

    @Override
    public void done(LinkReply reply) {
      replies.add(reply);
    }

    @Override
    public void failed(Fault fault) {
      faults.add(fault);
    }

    /** Returns whether the statement has no outcome yet. */
    public boolean isPending() {
      return replies.isEmpty() && faults.isEmpty();
    }

    /** Returns whether the statement succeeded. */
    public boolean isDone() {
      return replies.size() == 1 && faults.isEmpty();
    }

    /** Returns the fault; throws unless it is the only outcome. */
    public Fault fault() {
      if (faults.size() != 1 || !replies.isEmpty()) {
        throw new AssertionError("replies " + replies + ", faults " + faults);
      }
      return faults.getFirst();
    }
  }

  /** The name of this VM. */
  public static final String VM = "vm-self";

  /** The time limit of statements, in milliseconds. */
  public static final long TIMEOUT_MS = 1_000;

  public final ManualScheduler scheduler = new ManualScheduler();
  public final FakeLinks links = new FakeLinks();
  public final Targets targets = new Targets(scheduler, links);
  public final Targets holders = new Targets(scheduler, links.betweenVms());
  public final Role role = new Role();
  public final ServicePositions positions = new ServicePositions();
  public final PrimaryGate gate = new PrimaryGate(scheduler);
  public final OverdueNotifier overdueNotifier = new OverdueNotifier();
  public final DispatchContext dispatch;

  /** Registers the three targets, whose primaries need no lease. */
  public DispatchFixture() {
    this(new PrimaryUse.Unrestricted());
  }

  /** Registers the three targets. */
  public DispatchFixture(PrimaryUse primaryUse) {
    this.dispatch =
        new DispatchContext(
            scheduler,
            targets,
            positions,
            new TargetSelector.Direct(
                targets, positions, new LeastCostSelector(targets, "domain-i-2"), primaryUse),
            new TargetSelector.Forwarding(
                holders, new LeastCostSelector(holders, "domain-i-2"), VM),
            role,
            gate,
            new Hedging(),
            overdueNotifier,
            new StatementLog(scheduler, new GatewayMetrics()));
    targets.update(
        List.of(
            TestTargets.target("i-1", true, 1),
            TestTargets.target("i-2", false, 2),
            TestTargets.target("i-3", false, 3)));
  }

  /** Records that the primary has reported a log position just now. */
  public void recordProvenPosition(long term, long offset) {
    positions.of(TestTargets.SERVICE).record(scheduler.nowMs(), new LogPosition(term, offset));
  }

  /** Returns a statement on a route of the group's service. */
  public static StatementRequest request(ReadRule rule, CallerStatement statement) {
    Route route = new Route("db", TestTargets.SERVICE, rule, TIMEOUT_MS, 200, 1);
    return new StatementRequest(
        "r-1",
        Optional.empty(),
        route,
        SessionState.empty(),
        LogPosition.ORIGIN,
        statement,
        Optional.empty());
  }

  /** Returns a read of {@code x}. */
  public static CallerStatement read() {
    return new CallerStatement.Read("x");
  }

  /** Returns a write of 1 to {@code x}. */
  public static CallerStatement write() {
    return new CallerStatement.Write("x 1");
  }

  /** Starts a single statement. */
  public RecordedOutcome run(ReadRule rule, CallerStatement statement) {
    RecordedOutcome outcome = new RecordedOutcome();
    new SingleStatement(dispatch, request(rule, statement), outcome).start();
    return outcome;
  }
}
