package org.amaranthmoor.daemon.mesh;

import java.util.Map;
import org.amaranthmoor.caller.HostRoutes;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.connection.ClientLimits;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.target.ColdStart;

/**
 * One version of the operator's configuration.
 *
 * <p>Immutable except for the array of the document, which must not be modified; safe for use by
 * several threads.
 *
 * @param version the version, which rises with each change
 * @param routes finds the rule of a request; built once per version, because members change far
 *     more often
 * @param services the services by name
 * @param healthPaths the path of the health check of each service's targets
 * @param coldStarts what cold targets of each service take
 * @param teams the teams
 * @param limits what clients may send
 * @param document the document from which this was decoded, as it is sent to other nodes
 */
@SuppressWarnings("ArrayRecordComponent")
public record RoutingConfig(
    long version,
    HostRoutes routes,
    Map<ServiceName, ServiceSpec> services,
    Map<ServiceName, String> healthPaths,
    Map<ServiceName, ColdStart> coldStarts,
    Teams teams,
    ClientLimits limits,
    byte[] document) {

  /** Copies the maps. */
  public RoutingConfig {
    services = Map.copyOf(services);
    healthPaths = Map.copyOf(healthPaths);
    coldStarts = Map.copyOf(coldStarts);
  }

  /**
   * Creates a configuration that states no limits of clients.
   *
   * @param version the version, which rises with each change
   * @param routes finds the rule of a request
   * @param services the services by name
   * @param healthPaths the path of the health check of each service's targets
   * @param coldStarts what cold targets of each service take
   * @param teams the teams
   * @param document the document from which this was decoded
   */
  public RoutingConfig(
      long version,
      HostRoutes routes,
      Map<ServiceName, ServiceSpec> services,
      Map<ServiceName, String> healthPaths,
      Map<ServiceName, ColdStart> coldStarts,
      Teams teams,
      byte[] document) {
    this(version, routes, services, healthPaths, coldStarts, teams, ClientLimits.DEFAULT, document);
  }

  /**
   * Returns what a cold target of a service takes.
   *
   * @param service the service
   * @return its limits; no limit if the service is not configured
   */
  ColdStart coldStart(ServiceName service) {
    return coldStarts.getOrDefault(service, ColdStart.UNLIMITED);
  }
}
