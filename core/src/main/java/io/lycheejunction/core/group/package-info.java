/** What is known of a database group: its term, primary and confirmed positions. */
package io.lycheejunction.core.group;
