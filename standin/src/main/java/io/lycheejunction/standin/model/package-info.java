/**
 * In-memory database groups and platform, driven by an injected clock, without threads of their
 * own.
 */
package io.lycheejunction.standin.model;
