package org.amaranthmoor.daemon.caller;

import java.util.Collection;
import java.util.List;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.target.KeyOwners;

/**
 * Configuration and instances from which an entry side builds its routing snapshots.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface RoutingSource {

  /**
   * A target that may receive requests, with the address of its node.
   *
   * @param node the node beside the target
   * @param incarnation the node's incarnation, one for each run of its process
   * @param target the target
   * @param zone its availability zone
   * @param host the IP address of the node
   * @param port the TCP port of the node
   * @param slots most requests that the target may run at once
   */
  record Instance(
      NodeName node,
      Incarnation incarnation,
      TargetName target,
      ZoneName zone,
      String host,
      int port,
      int slots) {}

  /** {@return the number of the configuration, which rises with each change} */
  long offset();

  /** {@return the router that finds the routes of requests} */
  Router router();

  /** {@return the services} */
  Collection<ServiceSpec> services();

  /** {@return the teams; none if callers need no keys} */
  default Teams teams() {
    return Teams.NONE;
  }

  /**
   * Returns the instances of a service that may receive requests.
   *
   * @param service the service
   * @return the instances
   */
  List<Instance> instances(ServiceName service);

  /**
   * Returns the members that may be owners of idempotency keys.
   *
   * @param service the service
   * @return the members; none if callers send no idempotency keys
   */
  KeyOwners keyOwners(ServiceName service);
}
