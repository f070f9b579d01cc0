/** The node: one process beside each target, put together from the library's parts. */
package org.amaranthmoor.daemon;
