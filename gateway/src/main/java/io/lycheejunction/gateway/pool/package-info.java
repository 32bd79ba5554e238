/** The connections to a target and what each of them has been set up with. */
package io.lycheejunction.gateway.pool;
