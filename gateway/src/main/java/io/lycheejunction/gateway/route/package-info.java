/** The configuration in force, as far as statements need it. */
package io.lycheejunction.gateway.route;
