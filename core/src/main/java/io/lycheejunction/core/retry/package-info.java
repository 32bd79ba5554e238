/** Retries of requests that have certainly not run: backoff and retry budget. */
package io.lycheejunction.core.retry;
