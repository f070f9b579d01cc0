package org.amaranthmoor.daemon.settings;

import java.util.List;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;

/**
 * Settings of one node.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node
 * @param zone its availability zone
 * @param region its region
 * @param host IP address that callers, nodes and operators reach it at
 * @param callerPort TCP port for callers
 * @param nodePort TCP and UDP port for other nodes
 * @param adminPort TCP port for operators and metrics
 * @param target the target beside it
 * @param platform address of the platform's log
 * @param peers addresses of some other nodes, for a start while the platform is down
 * @param drainLimitMillis longest time a planned stop waits for requests in progress
 * @param retentionMillis how long the platform keeps records
 */
public record NodeSettings(
    NodeName node,
    ZoneName zone,
    RegionName region,
    String host,
    int callerPort,
    int nodePort,
    int adminPort,
    TargetSettings target,
    Endpoint platform,
    List<Endpoint> peers,
    long drainLimitMillis,
    long retentionMillis) {

  /** Copies the peers. */
  public NodeSettings {
    peers = List.copyOf(peers);
  }

  /**
   * Settings of the target beside a node.
   *
   * @param name the target
   * @param address its address
   * @param slots requests it may run at once
   * @param queue requests that may wait for a slot
   * @param connections most connections to it
   * @param idleTimeoutMillis time after which an idle connection is not used again
   */
  public record TargetSettings(
      TargetName name,
      Endpoint address,
      int slots,
      int queue,
      int connections,
      long idleTimeoutMillis) {}
}
