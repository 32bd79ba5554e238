/** Result codes, refusals and the {@code Result} type that total functions return. */
package io.lycheejunction.core.result;
