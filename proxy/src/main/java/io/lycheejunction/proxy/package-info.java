/** The proxy, a supervisor tree with one package for each child. */
package io.lycheejunction.proxy;
