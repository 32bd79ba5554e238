/** How a statement finds a target that may run it, and what its caller is told. */
package io.lycheejunction.gateway.dispatch;
