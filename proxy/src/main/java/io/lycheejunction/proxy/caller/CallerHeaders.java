package io.lycheejunction.proxy.caller;

import java.util.Objects;
import java.util.Optional;

/**
 * The headers of a caller's request that the proxy evaluates.
 *
 * @param session the encoded session token, if there is one
 * @param key the text of the idempotency key, if there is one
 */
record CallerHeaders(Optional<String> session, Optional<String> key) {
  /** The header of the session token, in requests and answers. */
  static final String SESSION = "Lycheejunction-Session";

  /** The header of the idempotency key. */
  static final String KEY = "Idempotency-Key";

  CallerHeaders {
    Objects.requireNonNull(session, "session is null");
    Objects.requireNonNull(key, "key is null");
  }
}
