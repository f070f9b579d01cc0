package org.amaranthmoor.daemon.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.amaranthmoor.balance.PickPolicy;
import org.amaranthmoor.balance.Picker;
import org.amaranthmoor.balance.ProbePlanner;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.balance.ServerStats;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.report.CallCounts;

/**
 * Builds routing snapshots and provides the current one.
 *
 * <p>Invariant: the offset of the current snapshot never falls. Reading it is one volatile read;
 * one thread at a time rebuilds it. Safe for use by several threads.
 */
public final class RoutingSnapshots {

  private static final int SAMPLE_SIZE = 6;
  private static final long COST_ZONE_PENALTY_NANOS = 2_000_000L;
  private static final long TAIL_ZONE_PENALTY_NANOS = 1_000_000L;
  private static final int RETRY_BURST = 10;

  private final ZoneName ownZone;
  private final ServicePolicies policies;
  private final TimeSource time;
  private final AtomicReference<Optional<RoutingSnapshot>> current =
      new AtomicReference<>(Optional.empty());
  private final Map<NodeRun, ServerStats> statsByNodeRun = new ConcurrentHashMap<>();
  private final Map<ServiceName, ServiceState> stateByService = new HashMap<>();

  private record NodeRun(NodeName node, Incarnation incarnation) {}

  // State that a service keeps across snapshots. A change of its specification replaces the picker
  // and the probe planner; the call counts stay.
  private record ServiceState(
      ServiceSpec spec,
      Picker picker,
      RetryBudget retryBudget,
      ProbePlanner probes,
      CallCounts counts) {}

  /**
   * Creates an instance that has no snapshot before the first {@link #rebuild}.
   *
   * @param ownZone the entry side's availability zone
   * @param policies policies for the services
   * @param time the time source
   */
  public RoutingSnapshots(ZoneName ownZone, ServicePolicies policies, TimeSource time) {
    this.ownZone = ownZone;
    this.policies = policies;
    this.time = time;
  }

  /** {@return the current snapshot, or empty before the first} */
  public Optional<RoutingSnapshot> current() {
    return current.get();
  }

  /**
   * Records a load report; one about an unknown node or incarnation is ignored.
   *
   * @param address the node that the report is about
   * @param report the report
   */
  public void onLoadReport(PeerAddress address, LoadReport report) {
    ServerStats stats = statsByNodeRun.get(new NodeRun(address.node(), address.incarnation()));
    if (stats != null) {
      stats.onReport(report, time.nanos());
    }
  }

  /**
   * Builds a new snapshot, unless the source is older than the current one.
   *
   * @param source the configuration and instances
   */
  public synchronized void rebuild(RoutingSource source) {
    long currentOffset = current.get().map(RoutingSnapshot::offset).orElse(ClusterState.NO_OFFSET);
    if (source.offset() < currentOffset) {
      return;
    }
    Map<ServiceName, ServiceSnapshot> services = new HashMap<>();
    for (ServiceSpec spec : source.services()) {
      services.put(spec.name(), snapshot(spec, source));
    }
    stateByService.keySet().retainAll(services.keySet());
    removeUnusedStats(services);
    current.set(
        Optional.of(
            new RoutingSnapshot(source.offset(), source.router(), source.teams(), services)));
  }

  private void removeUnusedStats(Map<ServiceName, ServiceSnapshot> services) {
    java.util.Set<NodeRun> used = new java.util.HashSet<>();
    for (ServiceSnapshot service : services.values()) {
      service.servers().forEach(s -> used.add(new NodeRun(s.node(), s.incarnation())));
    }
    statsByNodeRun.keySet().retainAll(used);
  }

  private ServiceSnapshot snapshot(ServiceSpec spec, RoutingSource source) {
    ServiceState state =
        stateByService.compute(spec.name(), (name, previous) -> serviceState(spec, previous));
    List<Server> servers = source.instances(spec.name()).stream().map(this::server).toList();
    return new ServiceSnapshot(
        spec,
        servers,
        source.keyOwners(spec.name()),
        state.picker(),
        state.retryBudget(),
        state.probes(),
        state.counts());
  }

  private ServiceState serviceState(ServiceSpec spec, ServiceState previous) {
    if (previous != null && previous.spec().equals(spec)) {
      return previous;
    }
    return new ServiceState(
        spec,
        new Picker(policies.pickPolicy().apply(spec), ownZone),
        retryBudget(spec, previous),
        new ProbePlanner(spec.probesPerSecond(), time.nanos()),
        previous == null ? new CallCounts() : previous.counts());
  }

  // A changed service keeps its budget if its retry share is the same, because a new budget would
  // allow a full burst of retries after each change.
  private RetryBudget retryBudget(ServiceSpec spec, ServiceState previous) {
    return previous != null && previous.spec().retryShare() == spec.retryShare()
        ? previous.retryBudget()
        : policies.retryBudget().apply(spec);
  }

  private Server server(RoutingSource.Instance instance) {
    ServerStats stats =
        statsByNodeRun.computeIfAbsent(
            new NodeRun(instance.node(), instance.incarnation()),
            key -> new ServerStats(time.nanos()));
    return new Server(
        instance.node(),
        instance.incarnation(),
        instance.target(),
        instance.zone(),
        instance.host(),
        instance.port(),
        instance.slots(),
        stats);
  }

  /**
   * Policies that a node applies to its services.
   *
   * @param pickPolicy returns the policy by which servers of a service are picked
   * @param retryBudget creates the retry budget of a service
   */
  public record ServicePolicies(
      Function<ServiceSpec, PickPolicy> pickPolicy,
      Function<ServiceSpec, RetryBudget> retryBudget) {

    /** {@return the policies of nodes that are configured by release notes} */
    public static ServicePolicies defaults() {
      return new ServicePolicies(
          ServicePolicies::leastExpectedLatencyPolicy,
          spec -> new RetryBudget(spec.retryShare(), RETRY_BURST));
    }

    private static PickPolicy leastExpectedLatencyPolicy(ServiceSpec spec) {
      return switch (spec.weighting()) {
        case COST -> new PickPolicy.LeastExpectedLatency(SAMPLE_SIZE, COST_ZONE_PENALTY_NANOS);
        case TAIL -> new PickPolicy.LeastExpectedLatency(SAMPLE_SIZE, TAIL_ZONE_PENALTY_NANOS);
      };
    }
  }
}
