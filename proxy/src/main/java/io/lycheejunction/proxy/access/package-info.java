/** Checks credentials and keeps the settings of keys and certificates. */
package io.lycheejunction.proxy.access;
