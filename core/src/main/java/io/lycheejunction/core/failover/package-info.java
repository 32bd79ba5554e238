/** The decisions of a failover: suspicion, pre-vote, term claim, choice and damping. */
package io.lycheejunction.core.failover;
