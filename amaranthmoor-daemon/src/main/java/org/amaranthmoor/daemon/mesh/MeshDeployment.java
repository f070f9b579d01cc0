package org.amaranthmoor.daemon.mesh;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.daemon.caller.Deployment;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.target.Homes;

/**
 * A deployment whose rules come from the operator's configuration and whose targets from the
 * members' own states.
 *
 * <p>Safe for use by several threads.
 */
final class MeshDeployment implements Deployment {

  private final RoutingConfig config;
  private final Membership membership;

  MeshDeployment(RoutingConfig config, Membership membership) {
    this.config = config;
    this.membership = membership;
  }

  @Override
  public long offset() {
    return config.version();
  }

  @Override
  public Router routes() {
    return config.routes();
  }

  @Override
  public Collection<ServiceSpec> services() {
    return config.services().values();
  }

  @Override
  public List<Instance> instances(ServiceName service) {
    return membership.members().stream()
        .filter(member -> member.reachable() && !member.draining())
        .flatMap(member -> toInstance(member, service).stream())
        .toList();
  }

  private static Optional<Instance> toInstance(Member member, ServiceName service) {
    return member
        .serving()
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
  public Homes homes(ServiceName service) {
    return new Homes(List.of());
  }
}
