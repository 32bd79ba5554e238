/** Metrics of the gateway: statement counts, latencies and gauges. */
package io.lycheejunction.gateway.metrics;
