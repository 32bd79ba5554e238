/**
 * Which VMs hold connections to targets, where targets accept fewer than there are VMs; the others
 * forward their callers' statements to these.
 */
package io.lycheejunction.gateway.holder;
