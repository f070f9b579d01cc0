package org.amaranthmoor.daemon.mesh;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.daemon.caller.RoutingSource;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.target.KeyOwners;

/**
 * A deployment with the rules of the operator's configuration and the targets that the members
 * announce in their states.
 *
 * <p>The target beside this node is included while its target side is open, even if this node
 * announces none to other nodes: a stopping node announces at once that it drains, but still serves
 * its own callers. Safe for use by several threads.
 */
final class MeshDeployment implements RoutingSource {

  private final RoutingConfig config;
  private final Membership membership;
  private final Optional<ServedService> ownService;
  private final Set<ZoneName> evacuatedZones;

  /**
   * Creates a deployment.
   *
   * @param config the configuration in force
   * @param membership the members
   * @param ownService the service of the target beside this node, empty if its target side is
   *     closed
   * @param evacuatedZones the zones whose targets receive no requests
   */
  MeshDeployment(
      RoutingConfig config,
      Membership membership,
      Optional<ServedService> ownService,
      Set<ZoneName> evacuatedZones) {
    this.config = config;
    this.membership = membership;
    this.ownService = ownService;
    this.evacuatedZones = Set.copyOf(evacuatedZones);
  }

  @Override
  public long offset() {
    return config.version();
  }

  @Override
  public Router router() {
    return config.routes();
  }

  @Override
  public Collection<ServiceSpec> services() {
    return config.services().values();
  }

  @Override
  public Teams teams() {
    return config.teams();
  }

  @Override
  public List<Instance> instances(ServiceName service) {
    NodeName own = membership.self().node();
    return membership.members().stream()
        .filter(member -> !evacuatedZones.contains(member.zone()))
        .flatMap(
            member ->
                toInstance(
                    member,
                    member.node().equals(own) ? ownService : availableService(member),
                    service)
                    .stream())
        .toList();
  }

  private static Optional<ServedService> availableService(Member member) {
    return member.reachable() && !member.draining() ? member.servedService() : Optional.empty();
  }

  private static Optional<Instance> toInstance(
      Member member, Optional<ServedService> offered, ServiceName service) {
    return offered
        .filter(found -> found.service().equals(service))
        .map(
            found ->
                new Instance(
                    member.node(),
                    member.incarnation(),
                    new TargetName(member.node().value()),
                    member.zone(),
                    member.host(),
                    member.port(),
                    found.slots()));
  }

  @Override
  public KeyOwners keyOwners(ServiceName service) {
    return new KeyOwners(List.of());
  }
}
