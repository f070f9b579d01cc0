package org.amaranthmoor.platform;

import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;

/**
 * A target that announced itself through its node and has neither left nor been evicted.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node beside the target
 * @param incarnation the run of the node's process
 * @param host the IP address of the node for other nodes
 * @param port the TCP port of the node for other nodes
 * @param zone the availability zone
 * @param region the region
 * @param target the target
 * @param slots requests the target may run at once
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
