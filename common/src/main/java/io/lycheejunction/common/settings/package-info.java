/** Settings from flags and environment variables, checked before a program starts. */
package io.lycheejunction.common.settings;
