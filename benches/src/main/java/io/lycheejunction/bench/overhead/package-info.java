/** Bench of the latency and CPU time that proxies add to a statement. */
package io.lycheejunction.bench.overhead;
