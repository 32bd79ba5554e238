/** The statements that sessions send, and the state that a session keeps between them. */
package io.lycheejunction.core.statement;
