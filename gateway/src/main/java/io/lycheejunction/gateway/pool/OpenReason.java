package io.lycheejunction.gateway.pool;

/** Why a connection to a target was opened. */
public enum OpenReason {
  /** The pool had no connection of the request's organisation, and room for one. */
  FIRST,
  /** All connections of the request's organisation were in use, and there was room for another. */
  ADDITIONAL,
  /** A connection of another organisation was closed to make room. */
  EVICTED_OTHER
}
