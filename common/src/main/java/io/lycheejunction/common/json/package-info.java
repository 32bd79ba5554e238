/** The JSON mapper that the programs share. */
package io.lycheejunction.common.json;
