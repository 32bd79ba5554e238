/** Result codes, faults and the {@code Result} type, which represents failures as values. */
package io.lycheejunction.core.result;
