/** The holders of targets' connection pools: admission, execution and acknowledgement. */
package io.lycheejunction.proxy.holder;
