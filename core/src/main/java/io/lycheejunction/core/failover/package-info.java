/** Failover decisions: failure detection, pre-vote, term claim, candidate selection, damping. */
package io.lycheejunction.core.failover;
