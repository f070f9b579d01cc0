/** HTTP on top of HttpCore: a listener on virtual threads and a client for control requests. */
package org.amaranthmoor.daemon.http;
