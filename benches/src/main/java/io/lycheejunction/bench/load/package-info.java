/** Simulated callers, load generation and measurement for the benches. */
package io.lycheejunction.bench.load;
