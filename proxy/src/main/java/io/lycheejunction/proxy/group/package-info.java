/** Watches database groups: status rounds, confirmations, failover and publication. */
package io.lycheejunction.proxy.group;
