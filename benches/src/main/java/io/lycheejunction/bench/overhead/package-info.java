/** The time and processor time that proxies add to a statement. */
package io.lycheejunction.bench.overhead;
