/**
 * State that nodes exchange by gossip within a region instead of through the log: which members are
 * alive and what they serve, and which nodes read the configuration from its source.
 */
package org.amaranthmoor.node;
