/** Stand-ins for the platform and for database groups, for development and tests. */
package io.lycheejunction.standin;
