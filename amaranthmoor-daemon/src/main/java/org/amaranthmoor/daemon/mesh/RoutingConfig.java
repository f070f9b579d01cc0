package org.amaranthmoor.daemon.mesh;

import java.util.List;
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
 * @param rules the rules
 * @param services the services
 * @param healthPaths path of the health check of each service's targets
 * @param document the document that it was decoded from, as it is passed on to other nodes
 */
@SuppressWarnings("ArrayRecordComponent")
public record RoutingConfig(
    long version,
    List<HostRoutes.Rule> rules,
    Map<ServiceName, ServiceSpec> services,
    Map<ServiceName, String> healthPaths,
    byte[] document) {

  /** Copies the rules and services. */
  public RoutingConfig {
    rules = List.copyOf(rules);
    services = Map.copyOf(services);
    healthPaths = Map.copyOf(healthPaths);
  }
}
