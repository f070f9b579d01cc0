/** Structured logging: rate-limited events and a handler that never blocks. */
package org.amaranthmoor.daemon.log;
