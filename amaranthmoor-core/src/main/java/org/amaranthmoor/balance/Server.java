package org.amaranthmoor.balance;

import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;

/**
 * One server of a service as an entry side sees it.
 *
 * <p>Two servers are equal if node and incarnation are; the statistics outlive a change of
 * configuration. Safe for use by several threads.
 *
 * @param node the node that runs beside the target
 * @param incarnation the run of the node's process
 * @param target the target
 * @param zone its availability zone
 * @param host the IP address of the node
 * @param port the TCP port of the node
 * @param slots requests the target may run at once
 * @param stats statistics of its load and health
 */
public record Server(
    NodeName node,
    Incarnation incarnation,
    TargetName target,
    ZoneName zone,
    String host,
    int port,
    int slots,
    ServerStats stats) {

  @Override
  public boolean equals(Object other) {
    return other instanceof Server server
        && server.node.equals(node)
        && server.incarnation.equals(incarnation);
  }

  @Override
  public int hashCode() {
    return 31 * node.hashCode() + incarnation.hashCode();
  }
}
