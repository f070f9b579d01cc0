package org.amaranthmoor.daemon.caller;

import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.model.ServiceName;

/**
 * The routing state that calls are served by, replaced as a whole when it changes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param offset number of the configuration, such as its offset in the log
 * @param router finds the routes of requests
 * @param teams the teams; none if callers need no keys
 * @param services snapshots of the services by name
 */
public record RoutingSnapshot(
    long offset, Router router, Teams teams, Map<ServiceName, ServiceSnapshot> services) {

  /** Copies the services. */
  public RoutingSnapshot {
    services = Map.copyOf(services);
  }

  /**
   * Finds a service.
   *
   * @param name the service
   * @return its snapshot, or empty if there is no such service
   */
  public Optional<ServiceSnapshot> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }
}
