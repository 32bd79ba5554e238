/** Checks the credentials of requests and reads the settings of keys and certificates. */
package io.lycheejunction.proxy.access;
