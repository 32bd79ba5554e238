/** Simulates quotas over many VMs on a virtual clock. */
package io.lycheejunction.bench.quota;
