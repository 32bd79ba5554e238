/** The limit on the statements in progress at a target, found from the target's answers. */
package io.lycheejunction.gateway.pace;
