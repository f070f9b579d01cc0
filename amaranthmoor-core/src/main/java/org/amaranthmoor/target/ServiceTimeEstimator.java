package org.amaranthmoor.target;

import java.util.HashMap;
import java.util.Map;
import org.amaranthmoor.model.RuleName;

/**
 * Learns how long the target works on requests of each rule at its usual speed.
 *
 * <p>Answers the load pattern of kinds with very different work that share one target: an estimate
 * over all of them would refuse the short ones and admit the long ones too late. What was learnt is
 * forgotten over time, so that a target that was slow is tried again. Not safe for use by several
 * threads by itself; {@link Admission} guards it.
 */
final class ServiceTimeEstimator {

  /** Weight of a new sample; about the last ten samples count. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Time in which what was learnt loses two thirds of its weight if no sample follows. */
  private static final double DECAY_NANOS = 3_000_000_000.0;

  /** Longest work, relative to the first guess, that is remembered; outliers say little. */
  private static final double MAX_SAMPLE_TO_INITIAL_RATIO = 20;

  private static final class Estimate {
    private double workNanos;
    private long lastSampleNanos;
  }

  private final Map<RuleName, Estimate> byRule = new HashMap<>();

  /** Takes in the work of one request, without what the target's neighbours cost it. */
  void onServed(RuleName rule, double workNanos, double initialEstimateNanos, long nowNanos) {
    Estimate estimate = byRule.computeIfAbsent(rule, key -> new Estimate());
    double sampleNanos = Math.min(workNanos, MAX_SAMPLE_TO_INITIAL_RATIO * initialEstimateNanos);
    double decayedNanos = decayedNanos(estimate, initialEstimateNanos, nowNanos);
    estimate.workNanos =
        estimate.lastSampleNanos == 0
            ? sampleNanos
            : decayedNanos + SAMPLE_WEIGHT * (sampleNanos - decayedNanos);
    estimate.lastSampleNanos = nowNanos == 0 ? 1 : nowNanos;
  }

  /** {@return the work expected of a request of the rule, in nanoseconds} */
  double expectedNanos(RuleName rule, double initialEstimateNanos, long nowNanos) {
    Estimate estimate = byRule.get(rule);
    return estimate == null
        ? initialEstimateNanos
        : decayedNanos(estimate, initialEstimateNanos, nowNanos);
  }

  // Only estimates above the guess fade, because only these keep requests away.
  private static double decayedNanos(
      Estimate estimate, double initialEstimateNanos, long nowNanos) {
    if (estimate.lastSampleNanos == 0 || estimate.workNanos <= initialEstimateNanos) {
      return estimate.lastSampleNanos == 0 ? initialEstimateNanos : estimate.workNanos;
    }
    double weight = Math.exp(-(nowNanos - estimate.lastSampleNanos) / DECAY_NANOS);
    return initialEstimateNanos + weight * (estimate.workNanos - initialEstimateNanos);
  }

  /** Forgets rules that are not in force any more, so that the memory stays bounded. */
  void clearIfOver(int maxRules) {
    if (byRule.size() > maxRules) {
      byRule.clear();
    }
  }
}
