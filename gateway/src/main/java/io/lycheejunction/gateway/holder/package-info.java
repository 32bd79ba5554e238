/**
 * Selects the VMs that hold connections to targets, called holders. Targets may accept fewer
 * connections than there are VMs; the other VMs forward their callers' statements to holders.
 */
package io.lycheejunction.gateway.holder;
