/** The HTTP client and TLS trust manager that all programs use. */
package io.lycheejunction.common.http;
