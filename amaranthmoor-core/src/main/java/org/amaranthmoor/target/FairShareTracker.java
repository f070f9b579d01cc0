package org.amaranthmoor.target;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import org.amaranthmoor.model.TeamName;

/**
 * Tracks how much of a target each flow has recently used, compared to its weighted share. A flow
 * is a team, or all requests without one.
 *
 * <p>The use of a flow is the work of its requests, charged when they start. It decays
 * exponentially with {@link #MEMORY_NANOS}: a target runs only a few requests a second, so that the
 * queue at one moment does not show which flow takes more than its share. The share of a flow is
 * the recent use of all flows, divided in proportion to the weights of the flows that are active.
 *
 * <p>Invariants: at most {@link #MAX_FLOWS} flows are kept, and a flow without use is discarded
 * after some {@link #MEMORY_NANOS}; uses are not negative. Not thread-safe; {@link Admission}
 * guards it with its lock.
 */
final class FairShareTracker {

  /**
   * Time in which a use decays to 1/e, in nanoseconds: as long as a burst of a team lasts, and as
   * the window over which quotas apply.
   */
  static final double MEMORY_NANOS = 5_000_000_000.0;

  /** Maximum number of flows that are tracked; the one with the least use is discarded first. */
  static final int MAX_FLOWS = 1_024;

  /** Use below which a flow counts as idle, in nanoseconds; that of a request decays in 25 s. */
  private static final double IDLE_USE_NANOS = 1_000_000.0;

  /**
   * Part of its share up to which a flow that asks for more is not behind others. Beyond this part
   * it gives way to flows that ask for no more than their share, which leave it the rest.
   */
  private static final double LEAST_SHARE = 0.75;

  /** Rank of requests by which a flow exceeds its share, but not by more than one request. */
  private static final double ONE_REQUEST_OVER = 1e-3;

  private static final class Flow {
    private double scaledUse;
    private double weight;
  }

  private final ToDoubleFunction<Optional<TeamName>> weights;
  private final Map<Optional<TeamName>, Flow> flows = new HashMap<>();
  // Uses are stored as their value at this time, so that they need not be updated as they decay.
  private long baseNanos;
  private double totalScaledUse;
  private double totalWeight;

  /**
   * Creates a tracker without flows.
   *
   * @param weights the positive weight of a flow
   * @param nowNanos the current time
   */
  FairShareTracker(ToDoubleFunction<Optional<TeamName>> weights, long nowNanos) {
    this.weights = weights;
    this.baseNanos = nowNanos;
  }

  /**
   * Changes the use of a flow.
   *
   * @param flow the flow
   * @param workNanos the work of a request that starts, or the difference to what it was charged
   *     with, in nanoseconds; negative to refund work
   * @param startNanos when the request started
   */
  void charge(Optional<TeamName> flow, double workNanos, long startNanos) {
    rebaseIfDue(startNanos);
    Flow state = flows.get(flow);
    if (state == null) {
      if (workNanos <= 0) {
        return;
      }
      state = addFlow(flow);
    }
    double changed = Math.max(0, state.scaledUse + workNanos * scale(startNanos));
    totalScaledUse = Math.max(0, totalScaledUse + changed - state.scaledUse);
    state.scaledUse = changed;
  }

  private Flow addFlow(Optional<TeamName> flow) {
    if (flows.size() >= MAX_FLOWS) {
      Map.Entry<Optional<TeamName>, Flow> least =
          flows.entrySet().stream()
              .min(Comparator.comparingDouble(entry -> entry.getValue().scaledUse))
              .orElseThrow();
      flows.remove(least.getKey());
      totalScaledUse = Math.max(0, totalScaledUse - least.getValue().scaledUse);
      totalWeight -= least.getValue().weight;
    }
    Flow added = new Flow();
    added.weight = weights.applyAsDouble(flow);
    flows.put(flow, added);
    totalWeight += added.weight;
    return added;
  }

  private double scale(long nowNanos) {
    return Math.exp((nowNanos - baseNanos) / MEMORY_NANOS);
  }

  // Discards idle flows, applies changed weights, and removes the rounding errors of the sums.
  private void rebaseIfDue(long nowNanos) {
    if (nowNanos - baseNanos < MEMORY_NANOS) {
      return;
    }
    double factor = 1 / scale(nowNanos);
    baseNanos = nowNanos;
    totalScaledUse = 0;
    totalWeight = 0;
    Iterator<Map.Entry<Optional<TeamName>, Flow>> entries = flows.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<Optional<TeamName>, Flow> entry = entries.next();
      Flow flow = entry.getValue();
      flow.scaledUse *= factor;
      if (flow.scaledUse < IDLE_USE_NANOS) {
        entries.remove();
      } else {
        flow.weight = weights.applyAsDouble(entry.getKey());
        totalScaledUse += flow.scaledUse;
        totalWeight += flow.weight;
      }
    }
  }

  /** {@return the number of flows that are tracked} */
  int flowCount() {
    return flows.size();
  }

  /** {@return whether no flow of a team is tracked} */
  boolean tracksNoTeam() {
    return flows.isEmpty() || (flows.size() == 1 && flows.containsKey(Optional.<TeamName>empty()));
  }

  /**
   * Returns the shares at this moment.
   *
   * @param waiting the flows that have requests waiting; one that occurs twice counts once
   * @param nowNanos the current time
   * @return the shares, valid until the next charge
   */
  Shares shares(Collection<Optional<TeamName>> waiting, long nowNanos) {
    rebaseIfDue(nowNanos);
    int count = flows.size();
    double weight = totalWeight;
    for (Optional<TeamName> flow : new HashSet<>(waiting)) {
      if (!flows.containsKey(flow)) {
        count++;
        weight += weights.applyAsDouble(flow);
      }
    }
    return new Shares(count, weight, scale(nowNanos));
  }

  /** Uses and weighted shares of the active flows at one moment. */
  final class Shares {
    private final int activeFlows;
    private final double activeWeight;
    private final double scale;

    private Shares(int activeFlows, double activeWeight, double scale) {
      this.activeFlows = activeFlows;
      this.activeWeight = activeWeight;
      this.scale = scale;
    }

    /** {@return whether more than one flow is active} */
    boolean areShared() {
      return activeFlows > 1;
    }

    /** {@return the number of active flows} */
    int activeFlows() {
      return activeFlows;
    }

    /** {@return the flow's part of the recent use of all flows, from 0 to 1} */
    double usedPart(Optional<TeamName> flow) {
      Flow state = flows.get(flow);
      return state == null || totalScaledUse == 0 ? 0 : state.scaledUse / totalScaledUse;
    }

    /** {@return the flow's weighted share of the recent use of all flows, from 0 to 1} */
    double sharePart(Optional<TeamName> flow) {
      Flow state = flows.get(flow);
      double weight = state == null ? weights.applyAsDouble(flow) : state.weight;
      return weight / activeWeight;
    }

    /** {@return the recent use of the flow in nanoseconds of work} */
    double useNanos(Optional<TeamName> flow) {
      Flow state = flows.get(flow);
      return state == null ? 0 : state.scaledUse / scale;
    }

    /** {@return the flow's weighted share of the recent use of all flows, in nanoseconds} */
    double shareNanos(Optional<TeamName> flow) {
      return totalScaledUse / scale * sharePart(flow);
    }

    /**
     * Ranks the waiting requests of a flow against those of other flows.
     *
     * <p>Requests within the share of the flow have rank 0. So have those of a flow that asks for
     * more than its share, up to {@link #LEAST_SHARE} of it. A flow may exceed its share by one
     * request, because the share of a small flow is less than that; such requests follow with rank
     * {@link #ONE_REQUEST_OVER}. The rest has the use of the flow, with the requests ahead,
     * relative to the share and one request: above 1 if that is exceeded.
     *
     * @param flow the flow
     * @param worksNanos expected work of its requests in nanoseconds, in the order in which they
     *     are served
     * @return the rank of each request; lower ranks go first
     */
    List<Double> ranks(Optional<TeamName> flow, List<Double> worksNanos) {
      double shareNanos = shareNanos(flow);
      List<Double> usesBefore = new ArrayList<>();
      List<Double> ranks = new ArrayList<>();
      double useNanos = useNanos(flow);
      boolean exceeds = false;
      for (double workNanos : worksNanos) {
        usesBefore.add(useNanos);
        ranks.add(useNanos / (shareNanos + workNanos));
        exceeds |= ranks.getLast() > 1;
        useNanos += workNanos;
      }
      double firstNanos = exceeds ? LEAST_SHARE * shareNanos : shareNanos;
      for (int i = 0; i < ranks.size(); i++) {
        if (usesBefore.get(i) <= firstNanos) {
          ranks.set(i, 0.0);
        } else if (!exceeds) {
          ranks.set(i, ONE_REQUEST_OVER);
        }
      }
      return ranks;
    }
  }
}
