/** Idempotency keys: their format, their age and how long the ledgers keep them. */
package io.lycheejunction.core.key;
