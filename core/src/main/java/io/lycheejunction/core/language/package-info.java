/** The operator language: statements, their parser and printer, and the tables that they return. */
package io.lycheejunction.core.language;
