/**
 * Monitors database groups: status rounds, majority confirmation, failover, planned switchover and
 * the exchange of group views between proxies.
 */
package io.lycheejunction.proxy.group;
