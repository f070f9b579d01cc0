/**
 * What nodes tell each other without going through the log: who is alive, by gossip within a
 * region.
 */
package org.amaranthmoor.node;
