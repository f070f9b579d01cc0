package org.amaranthmoor.caller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import org.amaranthmoor.model.TeamName;

/**
 * Counts the recent arrivals of each flow of one priority, and divides what is admitted between the
 * flows. A flow is a team, or all calls without one.
 *
 * <p>Invariants: at most {@link #MAX_FLOWS} flows are kept, and a flow without arrivals is
 * discarded after some {@link #MEMORY_NANOS}. Not thread-safe; {@link LoadShedder} guards it with
 * its lock.
 */
final class TeamArrivals {

  /**
   * Time in which a count decays to 1/e, in nanoseconds: 5 s shows a burst of 7 s after a third of
   * it; 1 s holds too few calls.
   */
  static final double MEMORY_NANOS = 2_000_000_000.0;

  /**
   * Maximum number of flows that are counted; the one with the fewest arrivals is dropped first.
   */
  static final int MAX_FLOWS = 1_024;

  /** Count below which a flow is discarded; that of a single call decays to it in 6 s. */
  private static final double IDLE_COUNT = 0.05;

  /**
   * Calls by which the share of each flow is increased. The share of a small flow is a fraction of
   * a call, and would be exceeded by its first one.
   */
  private static final double CALLS_PER_FLOW = 2;

  /** Change of the admitted share within a window up to which the level is not computed again. */
  private static final double MAX_SHARE_CHANGE = 0.02;

  private final ToDoubleFunction<Optional<TeamName>> weights;
  private final Map<Optional<TeamName>, Double> counts = new HashMap<>();
  private double total;
  private double totalWeight;
  private long decayedNanos;
  // The level of the shares in this window, computed when it is first needed.
  private OptionalDouble level = OptionalDouble.empty();
  private double levelShare;
  // Calls that should have been admitted so far, less those that were, in the mean. It raises the
  // capacity: with counts of few calls, shares of the flows alone admit less than the share of all.
  private double creditCalls;

  /**
   * Creates counts of no arrivals.
   *
   * @param weights the positive weight of a flow
   * @param nowNanos the current time
   */
  TeamArrivals(ToDoubleFunction<Optional<TeamName>> weights, long nowNanos) {
    this.weights = weights;
    this.decayedNanos = nowNanos;
  }

  /** Counts a call of a flow. */
  void onArrival(Optional<TeamName> flow) {
    if (!counts.containsKey(flow) && counts.size() >= MAX_FLOWS) {
      counts.remove(
          counts.entrySet().stream().min(Map.Entry.comparingByValue()).orElseThrow().getKey());
      sumUp();
    }
    if (counts.merge(flow, 1.0, Double::sum) == 1) {
      totalWeight += weights.applyAsDouble(flow);
    }
    total++;
  }

  /** Ends a window: the counts decay, and the level of the shares is computed again. */
  void onWindowEnd(long nowNanos) {
    double factor = Math.exp(-(nowNanos - decayedNanos) / MEMORY_NANOS);
    decayedNanos = nowNanos;
    counts.replaceAll((flow, count) -> count * factor);
    counts.values().removeIf(count -> count < IDLE_COUNT);
    sumUp();
    level = OptionalDouble.empty();
    if (counts.size() <= 1) {
      creditCalls = 0;
    }
  }

  private void sumUp() {
    total = counts.values().stream().mapToDouble(Double::doubleValue).sum();
    totalWeight = counts.keySet().stream().mapToDouble(weights).sum();
  }

  /** {@return the number of flows that are counted} */
  int flowCount() {
    return counts.size();
  }

  /**
   * Returns the part of a flow's calls that is admitted. In the mean over the calls for which this
   * is called, it is the part of all calls.
   *
   * @param flow the flow, of which at least one call has arrived
   * @param share the part of all calls that is admitted, from 0 to 1
   * @return the part, from 0 to 1
   */
  double admittedShareOf(Optional<TeamName> flow, double share) {
    if (counts.size() <= 1 || share <= 0 || share >= 1) {
      return share;
    }
    if (level.isEmpty() || Math.abs(levelShare - share) > MAX_SHARE_CHANGE) {
      List<MaxMinShares.Demand> demands = new ArrayList<>();
      counts.forEach((other, count) -> demands.add(demand(other, count)));
      double capacity = Math.clamp(share * total + creditCalls, 0, total);
      level = OptionalDouble.of(MaxMinShares.level(demands, capacity));
      levelShare = share;
    }
    MaxMinShares.Demand demand = demand(flow, counts.get(flow));
    double granted = demand.granted(level.getAsDouble()) / demand.amount();
    creditCalls = Math.clamp(creditCalls + share - granted, -total, total);
    return granted;
  }

  private MaxMinShares.Demand demand(Optional<TeamName> flow, double count) {
    double expectedCount = total * weights.applyAsDouble(flow) / totalWeight;
    return new MaxMinShares.Demand(count, expectedCount + CALLS_PER_FLOW);
  }
}
