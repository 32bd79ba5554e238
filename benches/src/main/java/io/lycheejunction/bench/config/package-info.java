/** Benchmark of the propagation of configuration changes to a fleet of proxies. */
package io.lycheejunction.bench.config;
