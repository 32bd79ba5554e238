/** The JSON mappers that all programs use. */
package io.lycheejunction.common.json;
