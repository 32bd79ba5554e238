/** The platform's list and the heartbeats between proxies, which also relay configuration rows. */
package io.lycheejunction.proxy.membership;
