/** The configuration in force: groups, targets, services and their rules. */
package io.lycheejunction.core.configuration;
