package io.lycheejunction.core.result;

/** What is known about the effect of a request. */
public enum Outcome {
  /** The request took effect and its answer is complete. */
  DONE,
  /** The request was refused and has had and will have no effect. */
  REFUSED_NOT_RUN,
  /** The request may or may not have taken effect; its key can be looked up later. */
  OUTCOME_UNKNOWN
}
