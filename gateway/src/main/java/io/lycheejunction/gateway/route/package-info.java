/** The part of the configuration that routes statements. */
package io.lycheejunction.gateway.route;
