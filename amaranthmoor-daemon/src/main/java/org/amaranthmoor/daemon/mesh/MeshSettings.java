package org.amaranthmoor.daemon.mesh;

import java.time.Duration;
import java.util.List;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ZoneName;

/**
 * Settings of a node in a mesh.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the node
 * @param zone its availability zone
 * @param region its region
 * @param callerEndpoint address for callers
 * @param nodeEndpoint TCP and UDP address for other nodes
 * @param metricsEndpoint address at which metrics are served
 * @param peers addresses of some other nodes, which may be gone
 * @param firstStart whether the whole system starts for the first time
 * @param gracePeriod longest time a planned stop may take
 * @param retryShare most repeats that arrive at a service, as a share of requests
 * @param retrySlack repeats that all nodes together may make beyond that share
 */
public record MeshSettings(
    NodeName node,
    ZoneName zone,
    RegionName region,
    Endpoint callerEndpoint,
    Endpoint nodeEndpoint,
    Endpoint metricsEndpoint,
    List<Endpoint> peers,
    boolean firstStart,
    Duration gracePeriod,
    double retryShare,
    double retrySlack) {

  /** Copies the peers. */
  public MeshSettings {
    peers = List.copyOf(peers);
  }
}
