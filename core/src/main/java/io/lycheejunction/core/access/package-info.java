/** Authorization: decides whether a credential allows a request. */
package io.lycheejunction.core.access;
