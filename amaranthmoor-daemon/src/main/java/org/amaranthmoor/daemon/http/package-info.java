/** Small helpers around HttpCore: a listener on virtual threads and a client for control calls. */
package org.amaranthmoor.daemon.http;
