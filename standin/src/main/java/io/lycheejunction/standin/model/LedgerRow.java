package io.lycheejunction.standin.model;

import java.util.Objects;

/**
 * One row of a ledger.
 *
 * @param key the key, which several rows may share
 * @param value the value
 */
public record LedgerRow(String key, String value) {
  /** Rejects null components. */
  public LedgerRow {
    Objects.requireNonNull(key, "key is null");
    Objects.requireNonNull(value, "value is null");
  }
}
