/** The load and the reconciliation of the demonstration. */
package io.lycheejunction.bench.demo;
