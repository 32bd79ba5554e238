/** The ports through which the gateway speaks to callers and targets. */
package io.lycheejunction.gateway.link;
