/** Request and response of a call as they pass through a node, with body pipes and flow control. */
package org.amaranthmoor.daemon.exchange;
