/** Session tokens, with which any proxy can guarantee a session read-your-writes consistency. */
package io.lycheejunction.core.session;
