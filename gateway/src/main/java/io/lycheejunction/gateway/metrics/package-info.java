/** Counters and histograms of what the gateway does. */
package io.lycheejunction.gateway.metrics;
