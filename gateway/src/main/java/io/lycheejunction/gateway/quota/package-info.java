/** Limits the rate of each organisation over all VMs; see docs/design/quotas.md. */
package io.lycheejunction.gateway.quota;
