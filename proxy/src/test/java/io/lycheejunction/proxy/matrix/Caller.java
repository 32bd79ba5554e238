package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.proxy.caller.Answer;
import io.lycheejunction.proxy.caller.BeginCall;
import io.lycheejunction.proxy.caller.StatementCall;
import io.lycheejunction.proxy.caller.StepCall;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** A caller with its session, which records what it asked and what it was answered. */
final class Caller {
  private static final long TIMEOUT_MS = 2_500;
  private static final long IDLE_LIMIT_MS = 10_000;
  private static final long VERSION_7 = 0x7000;
  private static final long VARIANT = 0x8000_0000_0000_0000L;

  private final Fleet fleet;
  private final String name;
  private final List<String> written = new ArrayList<>();
  private SessionToken session = SessionToken.newSession();
  private int count;

  Caller(Fleet fleet, String name) {
    this.fleet = fleet;
    this.name = name;
  }

  private String marker() {
    count++;
    return name + "-m" + count;
  }

  private String append(String marker) {
    return "append orders " + name + " " + marker;
  }

  IdempotencyKey key() {
    count++;
    long time = fleet.clock.wallMs() << 16 | VERSION_7;
    UUID uuid =
        new UUID(time, VARIANT | ((long) name.hashCode() << 16) & 0x3fff_ffff_ffffL | count);
    return IdempotencyKey.parse(uuid.toString()).getOrElse(null);
  }

  /** Returns whether the write was acknowledged. */
  boolean write(String domain) {
    return write(domain, TIMEOUT_MS);
  }

  /** Returns whether the write was acknowledged within the time. */
  boolean write(String domain, long timeoutMs) {
    return write(Optional.empty(), List.of(domain), timeoutMs);
  }

  private boolean write(Optional<IdempotencyKey> key, List<String> domains, long timeoutMs) {
    String marker = marker();
    History.Work work = fleet.history.work();
    work.add(append(marker));
    for (String domain : domains) {
      Optional<Answer> answer =
          statement(domain, append(marker), Access.WRITE, key, null, timeoutMs);
      fleet.history.answered(work, answer);
    }
    if (work.isDone()) {
      written.add(marker);
    }
    return work.isDone();
  }

  /** Returns whether a write with a key was acknowledged at one of the proxies, in order. */
  boolean keyed(List<String> domains) {
    return write(Optional.of(key()), domains, TIMEOUT_MS);
  }

  private Optional<Answer> statement(
      String domain,
      String text,
      Access access,
      Optional<IdempotencyKey> key,
      Long maxAgeMs,
      long timeoutMs) {
    StatementCall call =
        new StatementCall(
            Fleet.SERVICE,
            text,
            access,
            false,
            key,
            session,
            Optional.ofNullable(maxAgeMs),
            timeoutMs);
    Node node = fleet.node(domain);
    Optional<Answer> answer = node.ask(() -> node.coordinator().execute(call));
    answer.filter(Caller::isDone).ifPresent(a -> session = a.session());
    return answer;
  }

  private static boolean isDone(Answer answer) {
    return answer.code() == ResultCode.DONE;
  }

  /** Reads what the caller has written; empty for the newest, or of an age. */
  void read(String domain, Long maxAgeMs) {
    statement(domain, "get orders " + name, Access.READ, Optional.empty(), maxAgeMs, TIMEOUT_MS)
        .filter(Caller::isDone)
        .ifPresent(answer -> fleet.history.read(written, name, answer));
  }

  /** Opens a transaction, or returns one on which each step does nothing. */
  Transaction begin(String domain) {
    Node node = fleet.node(domain);
    BeginCall call = new BeginCall(Fleet.SERVICE, session, IDLE_LIMIT_MS, TIMEOUT_MS);
    Optional<String> id =
        node.ask(() -> node.coordinator().begin(call)).flatMap(Answer::transaction);
    return new Transaction(id);
  }

  /** A transaction of the caller. */
  final class Transaction {
    private final History.Work work = fleet.history.work();
    private final List<String> markers = new ArrayList<>();
    private Optional<String> id;

    Transaction(Optional<String> id) {
      this.id = id;
    }

    private StepCall call() {
      return new StepCall(Fleet.SERVICE, id.get(), session, TIMEOUT_MS);
    }

    /** Adds a row; without an acknowledgement the transaction is given up. */
    Transaction statement(String domain) {
      if (id.isEmpty()) {
        return this;
      }
      String marker = marker();
      work.add(append(marker));
      markers.add(marker);
      Node node = fleet.node(domain);
      StepCall call = call();
      Optional<Answer> answer =
          node.ask(() -> node.coordinator().step(call, Access.WRITE, append(marker)));
      checkNotCutOff(answer);
      if (answer.filter(Caller::isDone).isEmpty()) {
        id = Optional.empty();
      }
      return this;
    }

    private void checkNotCutOff(Optional<Answer> answer) {
      fleet.history.check(
          answer.filter(a -> a.code() == ResultCode.SHUTTING_DOWN).isEmpty(),
          "a shutdown cut off a transaction");
    }

    /** Returns whether the commit was acknowledged. */
    boolean commit(String domain, boolean withKey) {
      if (id.isEmpty()) {
        return false;
      }
      Node node = fleet.node(domain);
      StepCall call = call();
      Optional<IdempotencyKey> key = withKey ? Optional.of(key()) : Optional.empty();
      Optional<Answer> answer = node.ask(() -> node.coordinator().commit(call, key));
      checkNotCutOff(answer);
      fleet.history.answered(work, answer);
      if (work.isDone()) {
        session = answer.get().session();
        written.addAll(markers);
      }
      return work.isDone();
    }
  }
}
