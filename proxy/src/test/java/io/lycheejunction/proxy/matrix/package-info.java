/**
 * Fault-injection tests: the production classes of the proxies run against a modelled database
 * group and a modelled platform, and each fault is injected at the steps of each scenario.
 */
package io.lycheejunction.proxy.matrix;
