/** Accepts callers' requests over HTTP, routes them to targets, and responds with the outcome. */
package org.amaranthmoor.daemon.caller;
