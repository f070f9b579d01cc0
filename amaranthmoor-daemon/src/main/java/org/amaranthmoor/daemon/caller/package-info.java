/** Takes callers' requests over HTTP, routes them, and answers with the outcome. */
package org.amaranthmoor.daemon.caller;
