package io.lycheejunction.gateway.pace;

/** The recent latency of a target relative to the lowest that was seen. */
enum LatencyLevel {
  /** Near the lowest. */
  NORMAL,
  /** Above the lowest, so that more work in progress would only wait in the target's queue. */
  RAISED,
  /** Well above the lowest. */
  HIGH
}
