package org.amaranthmoor.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ZoneName;

/**
 * Picks the server of a call.
 *
 * <p>Invariants: a server that was tried already or drains is never picked; an ejected server is
 * picked only if no other is left. Safe for use by several threads.
 */
public final class Picker {

  private static final double SLOW_SERVER_FACTOR = 2;

  private final PickPolicy policy;
  private final ZoneName ownZone;
  private final AtomicInteger nextIndex = new AtomicInteger();

  /**
   * Creates a picker.
   *
   * @param policy the load balancing policy
   * @param ownZone the entry side's availability zone
   */
  public Picker(PickPolicy policy, ZoneName ownZone) {
    this.policy = policy;
    this.ownZone = ownZone;
  }

  /** {@return the load balancing policy} */
  public PickPolicy policy() {
    return policy;
  }

  /**
   * Picks a server.
   *
   * @param servers the servers of the service
   * @param tried servers not to pick again
   * @param nowNanos the current time
   * @param random source of randomness
   * @return the server, or empty if all were tried or drain
   */
  public Optional<Server> pick(
      List<Server> servers, Set<Server> tried, long nowNanos, RandomGenerator random) {
    return pickAmong(
        candidates(servers, tried, s -> Ejection.shouldAvoid(s.stats(), nowNanos), nowNanos),
        nowNanos,
        random);
  }

  /**
   * Picks a server for a request of a rule.
   *
   * @param servers the servers of the service
   * @param tried servers not to pick again
   * @param rule the rule; a server that is ejected for it is picked only if no other is left
   * @param nowNanos the current time
   * @param random source of randomness
   * @return the server, or empty if all were tried or drain
   */
  public Optional<Server> pick(
      List<Server> servers,
      Set<Server> tried,
      RuleName rule,
      long nowNanos,
      RandomGenerator random) {
    return pickAmong(
        candidates(servers, tried, s -> Ejection.shouldAvoid(s.stats(), rule, nowNanos), nowNanos),
        nowNanos,
        random);
  }

  private Optional<Server> pickAmong(
      List<Server> candidates, long nowNanos, RandomGenerator random) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    if (candidates.size() == 1) {
      return Optional.of(candidates.getFirst());
    }
    return Optional.of(
        switch (policy) {
          case PickPolicy.Random any -> candidates.get(random.nextInt(candidates.size()));
          case PickPolicy.RoundRobin inTurn ->
              candidates.get(Math.floorMod(nextIndex.getAndIncrement(), candidates.size()));
          case PickPolicy.LeastInFlight least ->
              cheapest(candidates, random, server -> server.stats().ownInFlight());
          case PickPolicy.PowerOfTwoChoices two ->
              cheapest(
                  sample(candidates, 2, random),
                  random,
                  server -> server.stats().reportedOccupancy());
          case PickPolicy.LeastExpectedLatency leastLatency ->
              pickByExpectedLatency(leastLatency, candidates, nowNanos, random);
          case PickPolicy.ZoneFirst zoneFirst ->
              pickByExpectedLatency(
                  new PickPolicy.LeastExpectedLatency(zoneFirst.sampleSize(), 0),
                  candidates,
                  nowNanos,
                  random);
        });
  }

  private static List<Server> candidates(
      List<Server> servers, Set<Server> tried, Predicate<Server> avoided, long nowNanos) {
    List<Server> healthy = new ArrayList<>(servers.size());
    List<Server> others = new ArrayList<>();
    for (Server server : servers) {
      if (tried.contains(server) || server.stats().draining(nowNanos)) {
        continue;
      }
      (avoided.test(server) ? others : healthy).add(server);
    }
    return healthy.isEmpty() ? others : healthy;
  }

  private Server pickByExpectedLatency(
      PickPolicy.LeastExpectedLatency policy,
      List<Server> candidates,
      long nowNanos,
      RandomGenerator random) {
    List<Server> sampled = sample(candidates, policy.sampleSize(), random);
    double medianNanos = medianServiceTimeNanos(sampled, nowNanos);
    return cheapest(
        sampled, random, server -> expectedLatency(server, policy, medianNanos, nowNanos));
  }

  private double expectedLatency(
      Server server, PickPolicy.LeastExpectedLatency policy, double medianNanos, long nowNanos) {
    double rounds =
        (1 + server.stats().occupancy(nowNanos)) / SlowStart.usableSlots(server, nowNanos);
    double slowness = slowness(server.stats().serviceTimeNanos(nowNanos), medianNanos);
    return rounds * slowness * medianNanos + zonePenalty(server, policy);
  }

  // Service times differ between kinds of calls too, so only one well above the median is slow.
  private static double slowness(double nanos, double medianNanos) {
    return nanos > SLOW_SERVER_FACTOR * medianNanos ? nanos / medianNanos : 1;
  }

  private static double medianServiceTimeNanos(List<Server> servers, long nowNanos) {
    double[] sorted =
        servers.stream().mapToDouble(s -> s.stats().serviceTimeNanos(nowNanos)).sorted().toArray();
    return Math.max(1, sorted[(sorted.length - 1) / 2]);
  }

  private double zonePenalty(Server server, PickPolicy.LeastExpectedLatency policy) {
    return server.zone().equals(ownZone) ? 0 : policy.zonePenaltyNanos();
  }

  private static List<Server> sample(List<Server> candidates, int count, RandomGenerator random) {
    if (candidates.size() <= count) {
      return candidates;
    }
    List<Server> pool = new ArrayList<>(candidates);
    List<Server> sampled = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int index = random.nextInt(pool.size());
      sampled.add(pool.get(index));
      pool.set(index, pool.getLast());
      pool.removeLast();
    }
    return sampled;
  }

  // Starts at a random index, so that ties are not always resolved to the same server.
  private static Server cheapest(
      List<Server> servers, RandomGenerator random, ToDoubleFunction<Server> cost) {
    int start = random.nextInt(servers.size());
    Server best = servers.get(start);
    double bestCost = cost.applyAsDouble(best);
    for (int i = 1; i < servers.size(); i++) {
      Server server = servers.get((start + i) % servers.size());
      double serverCost = cost.applyAsDouble(server);
      if (serverCost < bestCost) {
        best = server;
        bestCost = serverCost;
      }
    }
    return best;
  }
}
