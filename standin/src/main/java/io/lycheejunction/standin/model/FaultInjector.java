package io.lycheejunction.standin.model;

import java.util.Objects;

/** Decides which fault strikes a call on its way to a target or to the platform. */
public interface FaultInjector {
  /** An injector that lets every call pass. */
  FaultInjector NONE =
      new FaultInjector() {
        @Override
        public Injected before(Call call) {
          return Injected.PASS;
        }

        @Override
        public Injected after(Call call) {
          return Injected.PASS;
        }
      };

  /**
   * One call.
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

  /** What happens to a call. */
  sealed interface Injected {
    /** The call goes on unharmed. */
    Injected PASS = new Pass();

    /** The call goes on unharmed. */
    record Pass() implements Injected {}

    /** The connection is refused; without effect before it, the same as a lost reply after it. */
    record Refuse() implements Injected {}

    /** The request is lost: no effect and no answer. */
    record LoseRequest() implements Injected {}

    /** The reply is lost: the effect takes place and no answer comes. */
    record LoseReply() implements Injected {}

    /**
     * The call is held up.
     *
     * @param delayMs the time, in milliseconds; at the timeout or beyond the reply is lost
     */
    record Delay(long delayMs) implements Injected {}

    /** The request arrives twice; the first answer counts. */
    record Duplicate() implements Injected {}

    /**
     * An action runs and the call goes on.
     *
     * @param body the action
     */
    record Run(Runnable body) implements Injected {}
  }

  /**
   * Returns what happens to a call before its effect.
   *
   * @param call the call
   * @return the fault
   */
  Injected before(Call call);

  /**
   * Returns what happens to a call after its effect and before its reply.
   *
   * @param call the call
   * @return the fault
   */
  Injected after(Call call);
}
