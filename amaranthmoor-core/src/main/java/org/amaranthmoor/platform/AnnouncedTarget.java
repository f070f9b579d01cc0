package org.amaranthmoor.platform;

import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;

/**
 * A target whose node announced it and that has neither left nor been evicted.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node that runs next to the target
 * @param incarnation the incarnation of the node's process
 * @param host the IP address at which other nodes reach the node
 * @param port the TCP port at which other nodes reach the node
 * @param zone the availability zone
 * @param region the region
 * @param target the target
 * @param slots most requests that the target runs concurrently
 * @param offset log offset of the announcement
 */
public record AnnouncedTarget(
    NodeName node,
    Incarnation incarnation,
    String host,
    int port,
    ZoneName zone,
    RegionName region,
    TargetName target,
    int slots,
    long offset) {}
