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
 * Builds the view that the path of a request reads.
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
  private final Policies policies;
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
   * @param policies how services are treated
   * @param time the time
   */
  public EntryViews(ZoneName ownZone, Policies policies, TimeSource time) {
    this.ownZone = ownZone;
    this.policies = policies;
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
   * @param deployment what to route by
   */
  public synchronized void rebuild(Deployment deployment) {
    long shown = current.get().map(EntryView::offset).orElse(ClusterState.NO_OFFSET);
    if (deployment.offset() < shown) {
      return;
    }
    Map<ServiceName, ServiceView> services = new HashMap<>();
    for (ServiceSpec spec : deployment.services()) {
      services.put(spec.name(), view(spec, deployment));
    }
    parts.keySet().retainAll(services.keySet());
    forgetStats(services);
    current.set(Optional.of(new EntryView(deployment.offset(), deployment.routes(), services)));
  }

  private void forgetStats(Map<ServiceName, ServiceView> services) {
    java.util.Set<RunOfNode> used = new java.util.HashSet<>();
    for (ServiceView view : services.values()) {
      view.servers().forEach(s -> used.add(new RunOfNode(s.node(), s.incarnation())));
    }
    stats.keySet().retainAll(used);
  }

  private ServiceView view(ServiceSpec spec, Deployment deployment) {
    Parts shared = parts.compute(spec.name(), (name, old) -> parts(spec, old));
    List<Server> servers = deployment.instances(spec.name()).stream().map(this::server).toList();
    return new ServiceView(
        spec,
        servers,
        deployment.keyOwners(spec.name()),
        shared.picker(),
        shared.retryBudget(),
        shared.probes(),
        shared.counts());
  }

  private Parts parts(ServiceSpec spec, Parts old) {
    if (old != null && old.spec().equals(spec)) {
      return old;
    }
    return new Parts(
        spec,
        new Picker(policies.pick().apply(spec), ownZone),
        budget(spec, old),
        new ProbePlanner(spec.probesPerSecond(), time.nanos()),
        old == null ? new CallCounts() : old.counts());
  }

  // A changed service keeps its budget, or each change would allow a whole burst again.
  private RetryBudget budget(ServiceSpec spec, Parts old) {
    return old != null && old.spec().retryShare() == spec.retryShare()
        ? old.retryBudget()
        : policies.budget().apply(spec);
  }

  private Server server(Deployment.Instance instance) {
    ServerStats known =
        stats.computeIfAbsent(
            new RunOfNode(instance.node(), instance.incarnation()),
            key -> new ServerStats(time.nanos()));
    return new Server(
        instance.node(),
        instance.incarnation(),
        instance.target(),
        instance.zone(),
        instance.host(),
        instance.port(),
        instance.slots(),
        known);
  }

  /**
   * How a node treats services.
   *
   * @param pick chooses the way to pick servers of a service
   * @param budget creates the budget of retries to a service
   */
  public record Policies(
      Function<ServiceSpec, PickPolicy> pick, Function<ServiceSpec, RetryBudget> budget) {

    /** {@return what nodes use that release notes configure} */
    public static Policies standard() {
      return new Policies(
          Policies::hotCold, spec -> new RetryBudget(spec.retryShare(), RETRY_BURST));
    }

    private static PickPolicy hotCold(ServiceSpec spec) {
      return switch (spec.weighting()) {
        case COST -> new PickPolicy.LeastExpectedLatency(DRAWN, COST_ZONE_PENALTY_NANOS);
        case TAIL -> new PickPolicy.LeastExpectedLatency(DRAWN, TAIL_ZONE_PENALTY_NANOS);
      };
    }
  }
}
