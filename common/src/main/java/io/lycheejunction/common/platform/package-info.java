/** Clients of the platform's services, with JSON over HTTP. */
package io.lycheejunction.common.platform;
