/** Session tokens, which carry read-your-writes between proxies. */
package io.lycheejunction.core.session;
