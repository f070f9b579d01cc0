package org.amaranthmoor.daemon.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.balance.PickPolicy;
import org.amaranthmoor.balance.Picker;
import org.amaranthmoor.balance.ProbePlanner;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.balance.ServerStats;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.caller.RouteTable;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.platform.Announced;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.report.CallCounts;
import org.amaranthmoor.target.Homes;

/**
 * Builds the view that the path of a request reads, from the state and the membership.
 *
 * <p>Invariant: the view's offset only rises. Reading is one volatile read; rebuilding is done by
 * one thread at a time. Safe for use by several threads.
 */
public final class EntryViews {

  private static final int DRAWN = 6;
  private static final long COST_ZONE_PENALTY_NANOS = 2_000_000L;
  private static final long TAIL_ZONE_PENALTY_NANOS = 1_000_000L;
  private static final int RETRY_BURST = 10;

  private final ZoneName ownZone;
  private final Membership membership;
  private final TimeSource time;
  private final AtomicReference<Optional<EntryView>> current =
      new AtomicReference<>(Optional.empty());
  private final Map<RunOfNode, ServerStats> stats = new ConcurrentHashMap<>();
  private final Map<ServiceName, Parts> parts = new HashMap<>();

  private record RunOfNode(NodeName node, Incarnation incarnation) {}

  // What outlives a change of configuration, as long as the service's specification is the same.
  private record Parts(
      ServiceSpec spec,
      Picker picker,
      RetryBudget retryBudget,
      ProbePlanner probes,
      CallCounts counts) {}

  /**
   * Creates views; there is none before the first {@link #rebuild}.
   *
   * @param ownZone the entry side's availability zone
   * @param membership who is alive
   * @param time the time
   */
  public EntryViews(ZoneName ownZone, Membership membership, TimeSource time) {
    this.ownZone = ownZone;
    this.membership = membership;
    this.time = time;
  }

  /** {@return the newest view, or empty before the first} */
  public Optional<EntryView> current() {
    return current.get();
  }

  /**
   * Takes in a load report.
   *
   * @param address the node it is about
   * @param load the report
   */
  public void onLoad(PeerAddress address, LoadReport load) {
    ServerStats known = stats.get(new RunOfNode(address.node(), address.incarnation()));
    if (known != null) {
      known.onReport(load, time.nanos());
    }
  }

  /**
   * Builds a new view.
   *
   * @param state the state
   */
  public synchronized void rebuild(ClusterState state) {
    long shown = current.get().map(EntryView::offset).orElse(ClusterState.NO_OFFSET);
    if (state.offset() < shown) {
      return;
    }
    Map<ServiceName, ServiceView> services = new HashMap<>();
    for (ServiceSpec spec : state.services().values()) {
      services.put(spec.name(), view(spec, state));
    }
    parts.keySet().retainAll(services.keySet());
    forgetStats(services);
    RouteTable routes = new RouteTable(state.rules().values(), state.services());
    current.set(Optional.of(new EntryView(state.offset(), routes, services)));
  }

  private void forgetStats(Map<ServiceName, ServiceView> services) {
    java.util.Set<RunOfNode> used = new java.util.HashSet<>();
    for (ServiceView view : services.values()) {
      view.servers().forEach(s -> used.add(new RunOfNode(s.node(), s.incarnation())));
    }
    stats.keySet().retainAll(used);
  }

  private ServiceView view(ServiceSpec spec, ClusterState state) {
    Parts shared = parts.compute(spec.name(), (name, old) -> parts(spec, old));
    List<Server> servers = new ArrayList<>();
    for (Announced announced : state.servers(spec.name())) {
      toServer(announced).ifPresent(servers::add);
    }
    return new ServiceView(
        spec,
        servers,
        Homes.of(state, spec.name()),
        shared.picker(),
        shared.retryBudget(),
        shared.probes(),
        shared.counts());
  }

  private Parts parts(ServiceSpec spec, Parts old) {
    if (old != null && old.spec().equals(spec)) {
      return old;
    }
    long zonePenalty =
        switch (spec.weighting()) {
          case COST -> COST_ZONE_PENALTY_NANOS;
          case TAIL -> TAIL_ZONE_PENALTY_NANOS;
        };
    return new Parts(
        spec,
        new Picker(new PickPolicy.HotCold(DRAWN, zonePenalty), ownZone),
        new RetryBudget(spec.retryShare(), RETRY_BURST),
        new ProbePlanner(spec.probesPerSecond(), time.nanos()),
        old == null ? new CallCounts() : old.counts());
  }

  // The membership knows of failures, drains and replaced instances before the log does.
  private Optional<Server> toServer(Announced announced) {
    Optional<Member> member = membership.member(announced.node());
    if (member.isEmpty() || member.get().incarnation().compareTo(announced.incarnation()) < 0) {
      return Optional.of(
          server(announced, announced.incarnation(), announced.host(), announced.port()));
    }
    Member alive = member.get();
    if (!alive.reachable() || alive.draining()) {
      return Optional.empty();
    }
    return Optional.of(server(announced, alive.incarnation(), alive.host(), alive.port()));
  }

  private Server server(Announced announced, Incarnation incarnation, String host, int port) {
    ServerStats known =
        stats.computeIfAbsent(
            new RunOfNode(announced.node(), incarnation), key -> new ServerStats(time.nanos()));
    return new Server(
        announced.node(),
        incarnation,
        announced.target(),
        announced.zone(),
        host,
        port,
        announced.slots(),
        known);
  }
}
