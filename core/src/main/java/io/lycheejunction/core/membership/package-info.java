/** Which proxies are live and which targets are leaving, decided from lists and heartbeats. */
package io.lycheejunction.core.membership;
