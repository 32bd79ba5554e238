/** When a service gets another primary, which one, and who orders it. */
package io.lycheejunction.gateway.failover;
