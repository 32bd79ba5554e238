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

/** Records the callers' requests and answers, and checks the invariants against the logs. */
final class History {
  /** The statements of one write or transaction, and the outcomes of the attempts to commit it. */
  static final class WriteRecord {
    private final List<String> statements = new ArrayList<>();
    private boolean done;
    private boolean outcomeUnknown;
    private boolean cancelled;
    private boolean commitAttempted;

    WriteRecord() {}

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
  private final List<WriteRecord> writes = new ArrayList<>();
  private final Set<String> acceptedChanges = new LinkedHashSet<>();
  private final Set<String> violations = new LinkedHashSet<>();
  private final Map<String, WriteRecord> writesByStatement = new HashMap<>();

  History(Fleet fleet) {
    this.fleet = fleet;
  }

  static Change weightChange(int weight) {
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

  void recordAccepted(String id) {
    acceptedChanges.add(id);
  }

  WriteRecord startWrite() {
    WriteRecord write = new WriteRecord();
    writes.add(write);
    return write;
  }

  /** Records the answer to an attempt to commit the write; empty if there was no answer. */
  void recordAnswer(WriteRecord write, Optional<Answer> answer) {
    write.commitAttempted = true;
    Outcome outcome =
        answer.map(received -> received.code().outcome()).orElse(Outcome.OUTCOME_UNKNOWN);
    write.done |= outcome == Outcome.DONE;
    write.outcomeUnknown |= outcome == Outcome.OUTCOME_UNKNOWN;
    write.cancelled |=
        answer.filter(received -> received.code() == ResultCode.CANCELLED).isPresent();
    if (outcome == Outcome.DONE) {
      checkPrimary(write, answer.get());
    }
  }

  private void checkPrimary(WriteRecord write, Answer answer) {
    long term = answer.session().floor(Fleet.GROUP).map(LogPosition::term).orElse(0L);
    for (TargetStatus status :
        fleet.group.targets().stream().map(target -> fleet.group.status(target.name())).toList()) {
      boolean isReplaced = status.role() == Role.PRIMARY && status.term() > term;
      check(
          !isReplaced || count(fleet.group.log(status.target()), write) > 0,
          "a write was acknowledged by a replaced primary");
    }
  }

  /** Checks that the rows include all expected markers and only rows of the key. */
  void checkRead(List<String> expected, String key, Answer answer) {
    for (String marker : expected) {
      boolean isRead = answer.rows().stream().anyMatch(row -> row.contains(quoted(marker)));
      check(isRead, "a caller did not read its own write");
    }
    for (String row : answer.rows()) {
      check(row.contains(quoted(key)), "a caller received rows of the answer to another request");
    }
  }

  private static String quoted(String text) {
    return "\"" + text + "\"";
  }

  private static int count(List<LogEntry> log, WriteRecord write) {
    int count = 0;
    for (LogEntry entry : log) {
      count += entry.statements().equals(write.statements) ? 1 : 0;
    }
    return count;
  }

  /** Checks all recorded writes against the log of the current primary. */
  void checkLog() {
    List<LogEntry> log = fleet.primaryLog();
    for (WriteRecord write : writes) {
      if (write.statements.isEmpty()) {
        continue;
      }
      write.statements.forEach(statement -> writesByStatement.put(statement, write));
      int count = count(log, write);
      check(count <= 1, "a write ran more than once");
      check(!write.done || count == 1, "an acknowledged write is not in the log exactly once");
      boolean isRefused =
          write.cancelled || (write.commitAttempted && !write.done && !write.outcomeUnknown);
      check(!isRefused || count == 0, "a write ran although it was refused as not run");
      check(
          write.commitAttempted || count == 0, "a transaction that was not committed took effect");
    }
    for (LogEntry entry : log) {
      checkEntry(entry);
    }
  }

  private void checkEntry(LogEntry entry) {
    if (entry.statements().isEmpty()) {
      return;
    }
    WriteRecord write = writesByStatement.get(entry.statements().getFirst());
    check(
        write != null && write.statements.equals(entry.statements()),
        "statements of different transactions were mixed");
  }

  /** Checks that every accepted change is in force at every proxy. */
  void checkConfiguration() {
    for (String id : acceptedChanges) {
      for (ProxyNode node : fleet.nodes()) {
        check(
            node.writer()
                .find(id)
                .fold(fault -> false, found -> found.version() <= node.configurationVersion()),
            "an accepted configuration is not in force everywhere");
      }
    }
  }

  boolean isConfigurationInForce() {
    long newest = fleet.nodes().stream().mapToLong(ProxyNode::configurationVersion).max().orElse(0);
    return newest >= acceptedChanges.size()
        && fleet.nodes().stream().allMatch(node -> node.configurationVersion() == newest);
  }
}
