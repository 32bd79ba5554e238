/** The command-line tool for operators, with an interactive shell. */
package io.lycheejunction.ctl;
