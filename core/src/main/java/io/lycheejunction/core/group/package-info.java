/** The state of a database group as a proxy knows it: term, primary and confirmed positions. */
package io.lycheejunction.core.group;
