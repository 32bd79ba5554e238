/** Runs every fault at every step of the proxy over modelled groups and a modelled platform. */
package io.lycheejunction.proxy.matrix;
