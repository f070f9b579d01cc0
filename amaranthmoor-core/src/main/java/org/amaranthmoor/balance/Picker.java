package org.amaranthmoor.balance;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.ZoneName;

/**
 * Picks the server of a call.
 *
 * <p>Never picks a server that was tried already, drains or is ejected, as long as another is left;
 * if none is left, ejected servers are used. Safe for use by several threads.
 */
public final class Picker {

  private static final double SLOW_FACTOR = 2;

  private final PickPolicy policy;
  private final ZoneName ownZone;
  private final AtomicInteger turn = new AtomicInteger();

  /**
   * Creates a picker.
   *
   * @param policy the way to choose
   * @param ownZone the entry side's availability zone
   */
  public Picker(PickPolicy policy, ZoneName ownZone) {
    this.policy = policy;
    this.ownZone = ownZone;
  }

  /** {@return the way to choose} */
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
    List<Server> candidates = candidates(servers, tried, nowNanos);
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
              candidates.get(Math.floorMod(turn.getAndIncrement(), candidates.size()));
          case PickPolicy.LeastInFlight least ->
              least(candidates, random, server -> server.stats().ownInFlight());
          case PickPolicy.TwoChoices two ->
              least(
                  draw(candidates, 2, random),
                  random,
                  server -> server.stats().reportedOccupancy());
          case PickPolicy.HotCold hotCold -> pickHotCold(hotCold, candidates, nowNanos, random);
          case PickPolicy.ZoneFirst zoneFirst ->
              pickHotCold(
                  new PickPolicy.HotCold(zoneFirst.drawn(), 0), candidates, nowNanos, random);
        });
  }

  private static List<Server> candidates(List<Server> servers, Set<Server> tried, long nowNanos) {
    List<Server> healthy = new ArrayList<>(servers.size());
    List<Server> ejected = new ArrayList<>();
    for (Server server : servers) {
      if (tried.contains(server) || server.stats().draining(nowNanos)) {
        continue;
      }
      boolean held = Ejection.holdsBack(server.stats(), nowNanos);
      (held ? ejected : healthy).add(server);
    }
    return healthy.isEmpty() ? ejected : healthy;
  }

  private Server pickHotCold(
      PickPolicy.HotCold policy, List<Server> candidates, long nowNanos, RandomGenerator random) {
    List<Server> drawn = draw(candidates, policy.drawn(), random);
    double usualNanos = medianServiceNanos(drawn, nowNanos);
    return least(drawn, random, server -> expectedLatency(server, policy, usualNanos, nowNanos));
  }

  private double expectedLatency(
      Server server, PickPolicy.HotCold policy, double usualNanos, long nowNanos) {
    double turns = (1 + server.stats().occupancy(nowNanos)) / WarmUp.slots(server, nowNanos);
    double slowness = slowness(server.stats().serviceNanos(nowNanos), usualNanos);
    return turns * slowness * usualNanos + zonePenalty(server, policy);
  }

  // Times differ by the kinds of calls too, so a server counts as slow only well beyond others.
  private static double slowness(double nanos, double usualNanos) {
    return nanos > SLOW_FACTOR * usualNanos ? nanos / usualNanos : 1;
  }

  private static double medianServiceNanos(List<Server> servers, long nowNanos) {
    double[] sorted =
        servers.stream().mapToDouble(s -> s.stats().serviceNanos(nowNanos)).sorted().toArray();
    return Math.max(1, sorted[(sorted.length - 1) / 2]);
  }

  private double zonePenalty(Server server, PickPolicy.HotCold policy) {
    return server.zone().equals(ownZone) ? 0 : policy.zonePenaltyNanos();
  }

  private static List<Server> draw(List<Server> candidates, int count, RandomGenerator random) {
    if (candidates.size() <= count) {
      return candidates;
    }
    List<Server> pool = new ArrayList<>(candidates);
    List<Server> drawn = new ArrayList<>(count);
    for (int i = 0; i < count; i++) {
      int index = random.nextInt(pool.size());
      drawn.add(pool.get(index));
      pool.set(index, pool.getLast());
      pool.removeLast();
    }
    return drawn;
  }

  // Starts at a random place, so that ties do not always fall on the same server.
  private static Server least(
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
