/** The interface of a node for operators: health, metrics, status and burn rates. */
package org.amaranthmoor.daemon.operator;
