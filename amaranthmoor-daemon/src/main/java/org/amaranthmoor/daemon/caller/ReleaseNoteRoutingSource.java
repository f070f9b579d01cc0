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
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.target.KeyOwners;

/**
 * Routing source whose configuration comes from release notes, and whose instances come from
 * announcements in the platform's log.
 *
 * <p>The state of a member overrides an announcement of the same or an earlier incarnation, because
 * the membership learns of failures, drains and replaced instances before the log does. Safe for
 * use by several threads.
 */
public final class ReleaseNoteRoutingSource implements RoutingSource {

  private final ClusterState clusterState;
  private final Membership membership;
  private final Router router;

  /**
   * Creates a routing source.
   *
   * @param clusterState state that the log defines
   * @param membership the members and their liveness
   */
  public ReleaseNoteRoutingSource(ClusterState clusterState, Membership membership) {
    this.clusterState = clusterState;
    this.membership = membership;
    this.router = new RouteTable(clusterState.rules().values(), clusterState.services());
  }

  @Override
  public long offset() {
    return clusterState.offset();
  }

  @Override
  public Router router() {
    return router;
  }

  @Override
  public Collection<ServiceSpec> services() {
    return clusterState.services().values();
  }

  @Override
  public List<Instance> instances(ServiceName service) {
    List<Instance> instances = new ArrayList<>();
    for (AnnouncedTarget announced : clusterState.servers(service)) {
      availableInstance(announced).ifPresent(instances::add);
    }
    return instances;
  }

  private Optional<Instance> availableInstance(AnnouncedTarget announced) {
    Optional<Member> member = membership.member(announced.node());
    if (member.isEmpty() || member.get().incarnation().compareTo(announced.incarnation()) < 0) {
      return Optional.of(
          newInstance(announced, announced.incarnation(), announced.host(), announced.port()));
    }
    Member currentMember = member.get();
    if (!currentMember.reachable() || currentMember.draining()) {
      return Optional.empty();
    }
    return Optional.of(
        newInstance(
            announced, currentMember.incarnation(), currentMember.host(), currentMember.port()));
  }

  private static Instance newInstance(
      AnnouncedTarget announced, Incarnation incarnation, String host, int port) {
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
    return KeyOwners.of(clusterState, service);
  }
}
