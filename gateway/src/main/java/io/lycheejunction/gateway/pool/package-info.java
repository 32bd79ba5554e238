/** Pools of connections to targets, and the session state that each connection is set up with. */
package io.lycheejunction.gateway.pool;
