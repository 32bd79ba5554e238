/** Sessions: those of callers, and those in which other VMs forward statements. */
package io.lycheejunction.gateway.session;
