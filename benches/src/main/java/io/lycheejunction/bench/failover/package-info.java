/** Benches of failover time, write durability and failure detection. */
package io.lycheejunction.bench.failover;
