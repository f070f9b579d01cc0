/** Connects the quotas of teams to the links between nodes. */
package org.amaranthmoor.daemon.quota;
