/** The directory of targets: addresses, connection pools, health and primaries. */
package io.lycheejunction.gateway.target;
