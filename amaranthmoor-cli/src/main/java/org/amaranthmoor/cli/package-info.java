/** The command line: nodes, operators' commands and stand-ins. */
package org.amaranthmoor.cli;
