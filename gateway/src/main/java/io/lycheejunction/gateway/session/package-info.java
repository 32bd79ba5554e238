/** The sessions of callers. */
package io.lycheejunction.gateway.session;
