package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.configuration.Change;
import io.lycheejunction.core.configuration.ServiceRules;
import io.lycheejunction.core.port.Role;
import io.lycheejunction.core.port.TargetStatus;
import io.lycheejunction.core.result.Outcome;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.proxy.caller.Answer;
import io.lycheejunction.standin.model.LogEntry;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The callers' records of a run, and the invariants checked on them against the logs. */
final class History {
  /** The statements that were sent under one write, and what its attempts were answered. */
  static final class Work {
    private final List<String> statements = new ArrayList<>();
    private boolean done;
    private boolean doubtful;
    private boolean cancelled;
    private boolean ended;

    Work() {}

    void add(String statement) {
      statements.add(statement);
    }

    List<String> statements() {
      return statements;
    }

    boolean isDone() {
      return done;
    }
  }

  private final Fleet fleet;
  private final List<Work> works = new ArrayList<>();
  private final Set<String> accepted = new LinkedHashSet<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private final Map<String, Work> byStatement = new HashMap<>();

  History(Fleet fleet) {
    this.fleet = fleet;
  }

  static Change weight(int weight) {
    return new Change.AlterService(
        Fleet.SERVICE,
        new ServiceRules(
            Optional.empty(), Optional.empty(), Optional.empty(), Optional.of(weight)));
  }

  void check(boolean holds, String violation) {
    if (!holds) {
      violations.add(violation);
    }
  }

  Set<String> violations() {
    return violations;
  }

  void accepted(String id) {
    accepted.add(id);
  }

  Work work() {
    Work work = new Work();
    works.add(work);
    return work;
  }

  /** Records the answer to the attempt that was to commit the work; empty if none came. */
  void answered(Work work, Optional<Answer> answer) {
    work.ended = true;
    Outcome outcome = answer.map(a -> a.code().outcome()).orElse(Outcome.OUTCOME_UNKNOWN);
    work.done |= outcome == Outcome.DONE;
    work.doubtful |= outcome == Outcome.OUTCOME_UNKNOWN;
    work.cancelled |= answer.filter(a -> a.code() == ResultCode.CANCELLED).isPresent();
    if (outcome == Outcome.DONE) {
      checkPrimary(work, answer.get());
    }
  }

  private void checkPrimary(Work work, Answer answer) {
    long term = answer.session().floor(Fleet.GROUP).map(LogPosition::term).orElse(0L);
    for (TargetStatus status :
        fleet.group.targets().stream().map(t -> fleet.group.status(t.name())).toList()) {
      boolean replaced = status.role() == Role.PRIMARY && status.term() > term;
      check(
          !replaced || count(fleet.group.log(status.target()), work) > 0,
          "a write was acknowledged by a replaced primary");
    }
  }

  /** Checks the rows that a caller read against what it wrote before. */
  void read(List<String> expected, String key, Answer answer) {
    for (String marker : expected) {
      boolean isThere = answer.rows().stream().anyMatch(row -> row.contains(quoted(marker)));
      check(isThere, "a caller did not read its own write");
    }
    for (String row : answer.rows()) {
      check(row.contains(quoted(key)), "a caller received rows of another's answer");
    }
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private static int count(List<LogEntry> log, Work work) {
    int count = 0;
    for (LogEntry entry : log) {
      count += entry.statements().equals(work.statements) ? 1 : 0;
    }
    return count;
  }

  /** Checks all records against the log of the group. */
  void checkLog() {
    List<LogEntry> log = fleet.log();
    for (Work work : works) {
      if (work.statements.isEmpty()) {
        continue;
      }
      work.statements.forEach(statement -> byStatement.put(statement, work));
      int count = count(log, work);
      check(count <= 1, "a write ran more than once");
      check(!work.done || count == 1, "an acknowledged write is not in the log exactly once");
      boolean isRefused = work.cancelled || (work.ended && !work.done && !work.doubtful);
      check(!isRefused || count == 0, "a write that was refused as not run has run");
      check(work.ended || count == 0, "a transaction ran that was not committed");
    }
    for (LogEntry entry : log) {
      checkEntry(entry);
    }
  }

  private void checkEntry(LogEntry entry) {
    if (entry.statements().isEmpty()) {
      return;
    }
    Work work = byStatement.get(entry.statements().getFirst());
    check(
        work != null && work.statements.equals(entry.statements()),
        "statements of different transactions were mixed");
  }

  /** Checks that every proxy has the accepted configuration. */
  void checkConfiguration() {
    for (String id : accepted) {
      for (Node node : fleet.nodes()) {
        check(
            node.writer().find(id).fold(fault -> false, found -> found.version() <= node.version()),
            "an accepted configuration is not in force everywhere");
      }
    }
  }

  boolean isInForce() {
    long newest = fleet.nodes().stream().mapToLong(Node::version).max().orElse(0);
    return newest >= accepted.size() && fleet.nodes().stream().allMatch(n -> n.version() == newest);
  }
}
