/** The HTTP client that the programs share. */
package io.lycheejunction.common.http;
