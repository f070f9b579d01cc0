package org.amaranthmoor.daemon.caller;

import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.model.ServiceName;

/**
 * Everything the path of a request reads, as one value that is replaced as a whole.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param offset number of the configuration, such as its log offset
 * @param router finds routes
 * @param services the services
 */
public record RoutingSnapshot(
    long offset, Router router, Map<ServiceName, ServiceSnapshot> services) {

  /** Copies the services. */
  public RoutingSnapshot {
    services = Map.copyOf(services);
  }

  /**
   * Finds a service.
   *
   * @param name the service
   * @return the view of it, or empty if it does not exist
   */
  public Optional<ServiceSnapshot> service(ServiceName name) {
    return Optional.ofNullable(services.get(name));
  }
}
