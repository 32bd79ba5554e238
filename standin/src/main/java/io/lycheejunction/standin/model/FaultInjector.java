package io.lycheejunction.standin.model;

import java.util.Objects;

/** Selects the fault to inject into a call to a target or to the platform. */
public interface FaultInjector {
  /** An injector that never injects a fault. */
  FaultInjector NONE =
      new FaultInjector() {
        @Override
        public FaultAction before(Call call) {
          return FaultAction.PASS;
        }

        @Override
        public FaultAction after(Call call) {
          return FaultAction.PASS;
        }
      };

  /**
   * A call to a target or to the platform.
   *
   * @param source the failure domain of the caller
   * @param target the name of the instance, or {@code platform}
   * @param operation the name of the port's method
   */
  record Call(String source, String target, String operation) {
    /** Rejects null components. */
    public Call {
      Objects.requireNonNull(source, "source is null");
      Objects.requireNonNull(target, "target is null");
      Objects.requireNonNull(operation, "operation is null");
    }
  }

  /** What is injected into a call: a fault, an action or nothing. */
  sealed interface FaultAction {
    /** No fault: the call proceeds. */
    FaultAction PASS = new Pass();

    /** No fault: the call proceeds. */
    record Pass() implements FaultAction {}

    /**
     * The connection is refused: injected before the effect, the call has none; injected after the
     * effect, it is the same as a lost reply.
     */
    record Refuse() implements FaultAction {}

    /** The request is lost: it has no effect and gets no reply. */
    record LoseRequest() implements FaultAction {}

    /** The reply is lost: the request takes effect, but the caller gets no reply. */
    record LoseReply() implements FaultAction {}

    /**
     * The call is delayed.
     *
     * @param delayMs the delay, in milliseconds; if it reaches the timeout, the reply is lost
     */
    record Delay(long delayMs) implements FaultAction {}

    /** The request is executed twice; the caller gets the first reply. */
    record Duplicate() implements FaultAction {}

    /**
     * An action runs, then the call proceeds.
     *
     * @param body the action
     */
    record Run(Runnable body) implements FaultAction {}
  }

  /**
   * Returns the fault to inject before the call takes effect.
   *
   * @param call the call
   * @return the fault, or {@link FaultAction#PASS}
   */
  FaultAction before(Call call);

  /**
   * Returns the fault to inject after the call took effect and before its reply.
   *
   * @param call the call
   * @return the fault, or {@link FaultAction#PASS}
   */
  FaultAction after(Call call);
}
