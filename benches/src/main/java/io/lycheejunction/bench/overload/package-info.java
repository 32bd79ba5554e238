/** Bench of writes beyond the capacity of a primary, and during and after a network partition. */
package io.lycheejunction.bench.overload;
