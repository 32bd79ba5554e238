/** The narrow interfaces to targets and to the platform; adapters hold no decisions. */
package io.lycheejunction.core.port;
