/** Decisions on connections that clients open: how many a node keeps, and which ones. */
package org.amaranthmoor.connection;
