/** Benchmarks of the proxy and the load generator of the demonstration. */
package io.lycheejunction.bench;
