/** Failure detection for primaries, and failover: when, to which target, and on whose order. */
package io.lycheejunction.gateway.failover;
