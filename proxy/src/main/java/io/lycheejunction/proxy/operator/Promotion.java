package io.lycheejunction.proxy.operator;

import io.lycheejunction.core.result.Result;

/** Promotes a target because an operator asks for it. */
@FunctionalInterface
public interface Promotion {

  /**
   * Returns one line on the promotion that was made.
   *
   * @param group the name of the group
   * @param target the name of the target
   * @return the line, or why the target was not promoted
   */
  Result<String> promote(String group, String target);
}
