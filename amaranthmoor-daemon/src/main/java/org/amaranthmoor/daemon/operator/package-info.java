/** What operators read from a node: health, metrics, status and burn. */
package org.amaranthmoor.daemon.operator;
