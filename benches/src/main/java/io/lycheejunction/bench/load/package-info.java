/** Callers that load proxies and remember what they were told. */
package io.lycheejunction.bench.load;
