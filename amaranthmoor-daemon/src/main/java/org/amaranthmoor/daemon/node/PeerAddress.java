package org.amaranthmoor.daemon.node;

import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;

/**
 * Address of one incarnation of a node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node
 * @param incarnation the incarnation of its process
 * @param host its IP address
 * @param port its TCP port for other nodes
 */
public record PeerAddress(NodeName node, Incarnation incarnation, String host, int port) {}
