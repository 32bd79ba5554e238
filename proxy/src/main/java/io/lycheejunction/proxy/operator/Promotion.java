package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.result.Result;

/** Promotes a target at an operator's request. */
@FunctionalInterface
public interface Promotion {

  /**
   * Promotes the target and returns a one-line description of the promotion.
   *
   * @param group the name of the group
   * @param target the name of the target
   * @return the description, or the fault if the target was not promoted
   */
  Result<String> promote(String group, String target);
}
