/**
 * In-memory database groups and platform for tests and the stand-in servers. Time comes from an
 * injected clock; the model starts no threads.
 */
package io.lycheejunction.standin.model;
