package io.lycheejunction.gateway.session;

import io.lycheejunction.core.result.Fault;
import io.lycheejunction.gateway.quota.QuotaDecision;
import io.lycheejunction.gateway.quota.QuotaPermit;
import io.lycheejunction.gateway.quota.Quotas;
import java.util.Optional;
import java.util.function.Consumer;

/** The tokens of a session's operation: a single statement, or a transaction. */
final class OperationQuota {
  private final Quotas quotas;
  private QuotaPermit permit = QuotaPermit.none();
  private boolean counted;

  OperationQuota(Quotas quotas) {
    this.quotas = quotas;
  }

  /** Starts another operation, which has no tokens yet. */
  void startOperation() {
    permit = QuotaPermit.none();
    counted = false;
  }

  /** Returns whether the operation was allowed. A transaction is counted at its first statement. */
  boolean isCounted() {
    return counted;
  }

  /** Asks whether the operation may start; the result is empty, or the refusal. */
  void admit(Optional<String> organisation, boolean direct, Consumer<Optional<Fault>> done) {
    quotas.admit(
        organisation,
        direct,
        decision -> {
          switch (decision) {
            case QuotaDecision.Allowed allowed -> {
              permit = allowed.permit();
              counted = true;
              done.accept(Optional.empty());
            }
            case QuotaDecision.Refused refused -> done.accept(Optional.of(refused.fault()));
          }
        });
  }

  /** Gives the tokens back unless the operation was sent. */
  void refundUnless(boolean sent) {
    if (!sent) {
      permit.refund();
    }
  }

  /** Records the outcome of a statement, which may be a refusal by the VM it was forwarded to. */
  void recordOutcome(Optional<String> organisation, Optional<Fault> fault) {
    quotas.recordForwarded(organisation, fault);
  }
}
