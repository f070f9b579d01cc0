package org.amaranthmoor.daemon.caller;

import java.util.Collection;
import java.util.List;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.target.Homes;

/**
 * What an entry side routes by, whatever source it was learnt from.
 *
 * <p>Implementations are safe for use by several threads.
 */
public interface RoutingSource {

  /**
   * A target that may take requests, with its node.
   *
   * @param node the node beside the target
   * @param incarnation the run of the node's process
   * @param target the target
   * @param zone its availability zone
   * @param host the IP address of the node
   * @param port the TCP port of the node
   * @param slots requests the target may run at once
   */
  record Instance(
      NodeName node,
      Incarnation incarnation,
      TargetName target,
      ZoneName zone,
      String host,
      int port,
      int slots) {}

  /** {@return a number that rises with each change of the configuration} */
  long offset();

  /** {@return what finds routes} */
  Router router();

  /** {@return the services} */
  Collection<ServiceSpec> services();

  /**
   * Returns the targets of a service that may take requests.
   *
   * @param service the service
   * @return the targets
   */
  List<Instance> instances(ServiceName service);

  /**
   * Returns the members that may be homes of idempotency keys.
   *
   * @param service the service
   * @return the members; none where callers' repeats carry no keys
   */
  Homes homes(ServiceName service);
}
