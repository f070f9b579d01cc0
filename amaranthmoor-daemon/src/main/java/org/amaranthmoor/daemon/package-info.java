/** The node: the process beside each target, assembled from the parts of the library. */
package org.amaranthmoor.daemon;
