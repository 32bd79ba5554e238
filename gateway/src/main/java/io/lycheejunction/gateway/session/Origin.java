package io.lycheejunction.gateway.session;

/** The peer that opened a session. */
enum Origin {
  /** A caller. */
  CALLER,
  /** Another VM, which forwards the statements of its callers. */
  VM
}
