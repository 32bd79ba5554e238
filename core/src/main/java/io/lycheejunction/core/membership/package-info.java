/**
 * Membership: determines from the platform's list of VMs and from heartbeats which proxies are live
 * and which targets are leaving.
 */
package io.lycheejunction.core.membership;
