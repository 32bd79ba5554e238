package io.lycheejunction.proxy.matrix;

import io.lycheejunction.core.key.IdempotencyKey;
import io.lycheejunction.core.port.Access;
import io.lycheejunction.core.result.ResultCode;
import io.lycheejunction.core.session.SessionToken;
import io.lycheejunction.proxy.caller.Answer;
import io.lycheejunction.proxy.caller.BeginCall;
import io.lycheejunction.proxy.caller.StatementCall;
import io.lycheejunction.proxy.caller.TransactionCall;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;

/** A caller with one session, which records its requests and their answers in the history. */
final class Caller {
  private static final long TIMEOUT_MS = 2_500;
  private static final long IDLE_LIMIT_MS = 10_000;
  private static final long UUID_VERSION_7_BITS = 0x7000;
  private static final long UUID_VARIANT_BITS = 0x8000_0000_0000_0000L;

  private final Fleet fleet;
  private final String name;
  private final List<String> written = new ArrayList<>();
  private SessionToken session = SessionToken.newSession();
  private int sequence;

  Caller(Fleet fleet, String name) {
    this.fleet = fleet;
    this.name = name;
  }

  private String nextMarker() {
    sequence++;
    return name + "-m" + sequence;
  }

  private String appendStatement(String marker) {
    return "append orders " + name + " " + marker;
  }

  IdempotencyKey nextKey() {
    sequence++;
    long timeBits = fleet.clock.wallMs() << 16 | UUID_VERSION_7_BITS;
    UUID uuid =
        new UUID(
            timeBits,
            UUID_VARIANT_BITS | ((long) name.hashCode() << 16) & 0x3fff_ffff_ffffL | sequence);
    return IdempotencyKey.parse(uuid.toString()).getOrElse(null);
  }

  /** Returns whether the write was acknowledged. */
  boolean write(String domain) {
    return write(domain, TIMEOUT_MS);
  }

  /** Returns whether the write was acknowledged within the timeout. */
  boolean write(String domain, long timeoutMs) {
    return write(Optional.empty(), List.of(domain), timeoutMs);
  }

  private boolean write(Optional<IdempotencyKey> key, List<String> domains, long timeoutMs) {
    String marker = nextMarker();
    History.WriteRecord write = fleet.history.startWrite();
    write.add(appendStatement(marker));
    for (String domain : domains) {
      Optional<Answer> answer =
          execute(domain, appendStatement(marker), Access.WRITE, key, null, timeoutMs);
      fleet.history.recordAnswer(write, answer);
    }
    if (write.isDone()) {
      written.add(marker);
    }
    return write.isDone();
  }

  /** Sends a write with one key to each proxy in order; returns whether any acknowledged it. */
  boolean writeWithKey(List<String> domains) {
    return write(Optional.of(nextKey()), domains, TIMEOUT_MS);
  }

  private Optional<Answer> execute(
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
    ProxyNode node = fleet.node(domain);
    Optional<Answer> answer = node.handleRequest(() -> node.coordinator().execute(call));
    answer.filter(Caller::isDone).ifPresent(received -> session = received.session());
    return answer;
  }

  private static boolean isDone(Answer answer) {
    return answer.code() == ResultCode.DONE;
  }

  /**
   * Reads the rows of this caller and checks that its own writes are among them.
   *
   * @param domain the failure domain of the proxy
   * @param maxAgeMs the largest accepted age of the data, in milliseconds; null for no age rule
   */
  void read(String domain, Long maxAgeMs) {
    execute(domain, "get orders " + name, Access.READ, Optional.empty(), maxAgeMs, TIMEOUT_MS)
        .filter(Caller::isDone)
        .ifPresent(answer -> fleet.history.checkRead(written, name, answer));
  }

  /** Returns a new transaction; if it could not be opened, its steps have no effect. */
  Transaction begin(String domain) {
    ProxyNode node = fleet.node(domain);
    BeginCall call = new BeginCall(Fleet.SERVICE, session, IDLE_LIMIT_MS, TIMEOUT_MS);
    Optional<String> transactionId =
        node.handleRequest(() -> node.coordinator().begin(call)).flatMap(Answer::transaction);
    return new Transaction(transactionId);
  }

  final class Transaction {
    private final History.WriteRecord write = fleet.history.startWrite();
    private final List<String> markers = new ArrayList<>();
    private Optional<String> transactionId;

    Transaction(Optional<String> transactionId) {
      this.transactionId = transactionId;
    }

    private TransactionCall stepCall() {
      return new TransactionCall(Fleet.SERVICE, transactionId.get(), session, TIMEOUT_MS);
    }

    /** Appends a row; if the statement is not acknowledged, the transaction is abandoned. */
    Transaction append(String domain) {
      if (transactionId.isEmpty()) {
        return this;
      }
      String marker = nextMarker();
      write.add(appendStatement(marker));
      markers.add(marker);
      ProxyNode node = fleet.node(domain);
      TransactionCall call = stepCall();
      Optional<Answer> answer =
          node.handleRequest(
              () -> node.coordinator().step(call, Access.WRITE, appendStatement(marker)));
      checkNotCutOff(answer);
      if (answer.filter(Caller::isDone).isEmpty()) {
        transactionId = Optional.empty();
      }
      return this;
    }

    private void checkNotCutOff(Optional<Answer> answer) {
      fleet.history.check(
          answer.filter(received -> received.code() == ResultCode.SHUTTING_DOWN).isEmpty(),
          "a shutdown cut off a transaction");
    }

    /** Returns whether the commit was acknowledged. */
    boolean commit(String domain, boolean withKey) {
      if (transactionId.isEmpty()) {
        return false;
      }
      ProxyNode node = fleet.node(domain);
      TransactionCall call = stepCall();
      Optional<IdempotencyKey> key = withKey ? Optional.of(nextKey()) : Optional.empty();
      Optional<Answer> answer = node.handleRequest(() -> node.coordinator().commit(call, key));
      checkNotCutOff(answer);
      fleet.history.recordAnswer(write, answer);
      if (write.isDone()) {
        session = answer.get().session();
        written.addAll(markers);
      }
      return write.isDone();
    }
  }
}
