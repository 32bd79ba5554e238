/** The configuration log: reading, applying, relaying and writing its rows, and its snapshots. */
package io.lycheejunction.proxy.configuration;
