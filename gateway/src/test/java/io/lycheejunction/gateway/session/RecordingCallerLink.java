package io.lycheejunction.gateway.session;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.core.term.LogPosition;
import io.lycheejunction.gateway.link.CallerLink;
import io.lycheejunction.gateway.link.TransactionState;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Remembers what a caller, or a VM that forwards, was told, one text each. */
final class RecordedCaller implements CallerLink {
  final List<String> told = new ArrayList<>();
  boolean closed;

  @Override
  public void accept() {
    told.add("accepted");
  }

  @Override
  public void reject(Fault fault) {
    told.add("rejected " + fault.code());
  }

  @Override
  public void answer(
      List<String> rows,
      Optional<String> signature,
      TransactionState state,
      Optional<LogPosition> position) {
    told.add("done " + state);
  }

  @Override
  public void refuse(Fault fault, TransactionState state) {
    told.add(fault.code() + " " + state);
  }

  @Override
  public void close() {
    closed = true;
  }

  String last() {
    return told.getLast();
  }
}
