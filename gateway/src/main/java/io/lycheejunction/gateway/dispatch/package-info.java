/** Selection of a target for each statement, with retries, hedged reads and transactions. */
package io.lycheejunction.gateway.dispatch;
