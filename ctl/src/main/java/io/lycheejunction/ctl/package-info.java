/** The operators' command line. */
package io.lycheejunction.ctl;
