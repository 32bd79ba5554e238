/** The configuration log: reads, applies and writes its rows and stores snapshots. */
package io.lycheejunction.proxy.configuration;
