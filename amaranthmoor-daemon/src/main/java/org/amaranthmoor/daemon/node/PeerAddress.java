package org.amaranthmoor.daemon.node;

import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;

/**
 * Where one run of a node is reached.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node
 * @param incarnation the run of its process
 * @param host its IP address
 * @param port its port for nodes
 */
public record PeerAddress(NodeName node, Incarnation incarnation, String host, int port) {}
