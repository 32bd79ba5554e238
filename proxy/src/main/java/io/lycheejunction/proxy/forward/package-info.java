/** Messages between proxies: HTTP with JSON, one path for each kind of message. */
package io.lycheejunction.proxy.forward;
