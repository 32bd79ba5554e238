/** The load of the demonstration and the check of its results against the ledgers. */
package io.lycheejunction.bench.demo;
