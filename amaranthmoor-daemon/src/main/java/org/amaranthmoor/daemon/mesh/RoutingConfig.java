package org.amaranthmoor.daemon.mesh;

import java.util.Map;
import org.amaranthmoor.caller.HostRoutes;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.ServiceName;

/**
 * One version of the operator's configuration.
 *
 * <p>Immutable but for the document, which must not be changed; safe for use by several threads.
 *
 * @param version rises with each change
 * @param routes finds the rule of a request; built once, as members change far more often
 * @param services the services
 * @param healthPaths path of the health check of each service's targets
 * @param document the document that it was decoded from, as it is passed on to other nodes
 */
@SuppressWarnings("ArrayRecordComponent")
public record RoutingConfig(
    long version,
    HostRoutes routes,
    Map<ServiceName, ServiceSpec> services,
    Map<ServiceName, String> healthPaths,
    byte[] document) {

  /** Copies the services. */
  public RoutingConfig {
    services = Map.copyOf(services);
    healthPaths = Map.copyOf(healthPaths);
  }
}
