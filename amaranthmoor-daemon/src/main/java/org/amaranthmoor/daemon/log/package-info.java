/** Structured log lines. */
package org.amaranthmoor.daemon.log;
