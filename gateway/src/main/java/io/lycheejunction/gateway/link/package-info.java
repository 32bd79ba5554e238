/** Interfaces for the connections of the gateway to callers and targets. */
package io.lycheejunction.gateway.link;
