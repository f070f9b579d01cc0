package org.amaranthmoor.daemon.mesh;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.daemon.caller.RoutingSource;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.target.KeyOwners;

/**
 * A deployment whose rules come from the operator's configuration and whose targets from the
 * members' own states.
 *
 * <p>The target beside this node is part of it as long as its target side is open, whatever other
 * nodes are told: a node that stops tells them at once to go elsewhere, but still serves its own
 * callers. Safe for use by several threads.
 */
final class MeshDeployment implements RoutingSource {

  private final RoutingConfig config;
  private final Membership membership;
  private final Optional<ServedService> ownServing;

  /**
   * Creates a deployment.
   *
   * @param config the configuration in force
   * @param membership the members
   * @param ownServing what the target beside this node serves, if its target side is open
   */
  MeshDeployment(RoutingConfig config, Membership membership, Optional<ServedService> ownServing) {
    this.config = config;
    this.membership = membership;
    this.ownServing = ownServing;
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
  public List<Instance> instances(ServiceName service) {
    NodeName own = membership.self().node();
    return membership.members().stream()
        .flatMap(
            member ->
                toInstance(member, member.node().equals(own) ? ownServing : taking(member), service)
                    .stream())
        .toList();
  }

  private static Optional<ServedService> taking(Member member) {
    return member.reachable() && !member.draining() ? member.servedService() : Optional.empty();
  }

  private static Optional<Instance> toInstance(
      Member member, Optional<ServedService> taking, ServiceName service) {
    return taking
        .filter(serving -> serving.service().equals(service))
        .map(
            serving ->
                new Instance(
                    member.node(),
                    member.incarnation(),
                    new TargetName(member.node().value()),
                    member.zone(),
                    member.host(),
                    member.port(),
                    serving.slots()));
  }

  @Override
  public KeyOwners keyOwners(ServiceName service) {
    return new KeyOwners(List.of());
  }
}
