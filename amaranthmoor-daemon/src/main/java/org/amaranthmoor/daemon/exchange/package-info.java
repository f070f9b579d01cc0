/** One call as it passes through a node: request, answer, body pipes and flow control. */
package org.amaranthmoor.daemon.exchange;
