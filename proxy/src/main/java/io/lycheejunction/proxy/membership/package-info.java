/**
 * Fleet membership from the platform's list of VMs and from heartbeats between proxies, which also
 * relay configuration rows.
 */
package io.lycheejunction.proxy.membership;
