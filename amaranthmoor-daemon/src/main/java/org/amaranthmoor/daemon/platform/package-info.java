/** Reads and writes the platform's log over HTTP, follows it, and writes checkpoints. */
package org.amaranthmoor.daemon.platform;
