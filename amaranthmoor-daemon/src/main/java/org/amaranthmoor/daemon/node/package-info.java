/** Links between nodes: calls, settlement, probes and leases over TCP, gossip over UDP. */
package org.amaranthmoor.daemon.node;
