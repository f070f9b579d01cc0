package org.amaranthmoor.daemon.mesh;

import java.time.Duration;
import java.util.List;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.quota.QuotaBound;

/**
 * Settings of a node in a mesh.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param node the name of the node
 * @param zone the availability zone of the node
 * @param region the region of the node
 * @param callerEndpoint the address for callers
 * @param nodeEndpoint the TCP and UDP address for other nodes
 * @param metricsEndpoint the address at which metrics are served
 * @param peers addresses of some other nodes, which may no longer exist
 * @param firstStart whether the whole system starts for the first time
 * @param gracePeriod longest time that a planned stop may take
 * @param retryShare largest number of retries that may arrive at a service, as a share of requests
 * @param retrySlack number of retries that all nodes together may send in excess of that share
 * @param quotaBound how far the requests of a team may exceed its quota
 * @param hedgeShare largest number of copies of slow requests, as a share of requests; 0 for none
 * @param configBound time within which a change of the configuration must be in force at every node
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
    double retrySlack,
    QuotaBound quotaBound,
    double hedgeShare,
    Duration configBound) {

  /** Copies the peers. */
  public MeshSettings {
    peers = List.copyOf(peers);
  }
}
