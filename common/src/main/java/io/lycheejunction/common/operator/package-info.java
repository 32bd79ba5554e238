/** The requests of operator tools and the proxies' replies. */
package io.lycheejunction.common.operator;
