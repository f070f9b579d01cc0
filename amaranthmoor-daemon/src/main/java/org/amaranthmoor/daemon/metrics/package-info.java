/** Metrics of a node. */
package org.amaranthmoor.daemon.metrics;
