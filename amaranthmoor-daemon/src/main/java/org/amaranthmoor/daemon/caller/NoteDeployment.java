package org.amaranthmoor.daemon.caller;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.caller.RouteTable;
import org.amaranthmoor.caller.Router;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.platform.Announced;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.target.KeyOwners;

/**
 * A deployment as release notes and announcements in the platform's log define it.
 *
 * <p>The membership knows of failures, drains and replaced instances before the log does. Safe for
 * use by several threads.
 */
public final class NoteDeployment implements Deployment {

  private final ClusterState state;
  private final Membership membership;
  private final Router routes;

  /**
   * Creates a deployment.
   *
   * @param state the state
   * @param membership who is alive
   */
  public NoteDeployment(ClusterState state, Membership membership) {
    this.state = state;
    this.membership = membership;
    this.routes = new RouteTable(state.rules().values(), state.services());
  }

  @Override
  public long offset() {
    return state.offset();
  }

  @Override
  public Router routes() {
    return routes;
  }

  @Override
  public Collection<ServiceSpec> services() {
    return state.services().values();
  }

  @Override
  public List<Instance> instances(ServiceName service) {
    List<Instance> instances = new ArrayList<>();
    for (Announced announced : state.servers(service)) {
      toInstance(announced).ifPresent(instances::add);
    }
    return instances;
  }

  private Optional<Instance> toInstance(Announced announced) {
    Optional<Member> member = membership.member(announced.node());
    if (member.isEmpty() || member.get().incarnation().compareTo(announced.incarnation()) < 0) {
      return Optional.of(
          instance(announced, announced.incarnation(), announced.host(), announced.port()));
    }
    Member alive = member.get();
    if (!alive.reachable() || alive.draining()) {
      return Optional.empty();
    }
    return Optional.of(instance(announced, alive.incarnation(), alive.host(), alive.port()));
  }

  private static Instance instance(
      Announced announced, Incarnation incarnation, String host, int port) {
    return new Instance(
        announced.node(),
        incarnation,
        announced.target(),
        announced.zone(),
        host,
        port,
        announced.slots());
  }

  @Override
  public KeyOwners keyOwners(ServiceName service) {
    return KeyOwners.of(state, service);
  }
}
