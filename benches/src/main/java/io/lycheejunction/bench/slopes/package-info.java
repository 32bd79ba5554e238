/** Benchmark of the cost of each role of a proxy as the size of its driver grows. */
package io.lycheejunction.bench.slopes;
