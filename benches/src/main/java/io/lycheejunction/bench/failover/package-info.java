/** The benches of failover, acknowledgement and suspicion. */
package io.lycheejunction.bench.failover;
