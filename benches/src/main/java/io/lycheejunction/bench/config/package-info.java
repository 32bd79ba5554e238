/** The measurement of how the configuration spreads over a fleet of proxies. */
package io.lycheejunction.bench.config;
