package io.lycheejunction.gateway.session;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.CallerLink;
import io.lycheejunction.gateway.link.TransactionState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Records the replies to a caller or to a forwarding VM, one text per reply. */
final class RecordingCallerLink implements CallerLink {
  final List<String> replies = new ArrayList<>();
  boolean closed;
  boolean congested;
  long stateBytes;

  @Override
  public void accept() {
    replies.add("accepted");
  }

  @Override
  public void reject(Fault fault) {
    replies.add("rejected " + fault.code());
  }

  @Override
  public void answer(
      List<String> rows,
      Optional<String> signature,
      TransactionState state,
      Optional<LogPosition> position) {
    replies.add("done " + state);
  }

  @Override
  public void refuse(Fault fault, TransactionState state) {
    replies.add(fault.code() + " " + state);
  }

  @Override
  public boolean isCongested() {
    return congested;
  }

  @Override
  public void setStateBytes(long bytes) {
    stateBytes = bytes;
  }

  @Override
  public void close() {
    closed = true;
  }

  String lastReply() {
    return replies.getLast();
  }
}
