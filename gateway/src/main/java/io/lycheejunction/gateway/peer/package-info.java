/** Requests between the VMs that hold connections to targets. */
package io.lycheejunction.gateway.peer;
