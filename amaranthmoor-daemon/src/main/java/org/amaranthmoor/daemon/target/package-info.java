/** Runs requests at the target beside this node, over HTTP. */
package org.amaranthmoor.daemon.target;
