package io.lycheejunction.gateway.pace;

import java.util.Locale;

/** Why a limit starts low. */
public enum SlowStartCause {
  /** The target was registered before this process started. */
  REGISTERED_BEFORE,
  /** The target was registered just now, maybe with a new incarnation. */
  FOUND,
  /** The target has become the primary of its service. */
  PROMOTED,
  /** The target answers again after it was unreachable. */
  REACHABLE_AGAIN;

  String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
