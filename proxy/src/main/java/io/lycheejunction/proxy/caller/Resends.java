package io.lycheejunction.proxy.caller;

/** The budget out of which requests are sent again. */
public interface Resends {

  /** Records the first attempt of a request, which fills the budget. */
  void recordFirst();

  /**
   * Returns whether a request may be sent again, and takes that from the budget.
   *
   * @return true if the budget allowed it
   */
  boolean tryResend();
}
