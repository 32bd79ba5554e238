/** Statements that callers send in a session, and the state that a session keeps between them. */
package io.lycheejunction.core.statement;
