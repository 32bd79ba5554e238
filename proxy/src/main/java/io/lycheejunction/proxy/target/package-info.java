/** The adapter that sends requests to targets as JSON over HTTP. */
package io.lycheejunction.proxy.target;
