/** The benches and the load of the demonstration. */
package io.lycheejunction.bench;
