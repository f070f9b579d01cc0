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
 * @param host IP address on which callers, nodes and operators reach it
 * @param callerPort TCP port for callers
 * @param nodePort TCP and UDP port for other nodes
 * @param adminPort TCP port for operators and metrics
 * @param target settings of its target
 * @param platform address of the platform's log
 * @param peers addresses of some other nodes, from which it learns the members if the platform is
 *     unavailable when it starts
 * @param drainLimitMillis maximum time that a planned stop waits for requests in progress
 * @param retentionMillis time for which the platform's log keeps records, in milliseconds
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
   * Settings of a node's target.
   *
   * @param name the target
   * @param address its address
   * @param slots maximum number of requests that it runs concurrently
   * @param queue maximum number of requests that wait for a slot
   * @param connections maximum number of idle connections to it
   * @param idleTimeoutMillis time after which an idle connection is not reused, in milliseconds
   */
  public record TargetSettings(
      TargetName name,
      Endpoint address,
      int slots,
      int queue,
      int connections,
      long idleTimeoutMillis) {}
}
