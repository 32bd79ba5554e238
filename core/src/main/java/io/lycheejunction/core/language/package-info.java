/** The operators' language: statements, their parser and printer, and tables of answers. */
package io.lycheejunction.core.language;
