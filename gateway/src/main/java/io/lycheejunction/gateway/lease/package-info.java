/**
 * Leases under which a VM uses primaries, so that a replaced primary which goes on working is not
 * used beside its successor.
 */
package io.lycheejunction.gateway.lease;
