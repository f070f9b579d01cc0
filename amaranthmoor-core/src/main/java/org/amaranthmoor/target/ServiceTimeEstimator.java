package org.amaranthmoor.target;

import java.util.HashMap;
import java.util.Map;
import org.amaranthmoor.model.RuleName;

/**
 * Estimates the service time of each rule's requests at the target's usual speed.
 *
 * <p>Requests of different rules may differ widely in their work. One estimate over all of them
 * would refuse the short ones and admit the long ones too late. Estimates decay towards the initial
 * one, so that a target that was slow is tried again. Not thread-safe; {@link Admission} guards it
 * with its lock.
 */
final class ServiceTimeEstimator {

  /** Weight of a new sample; the estimate reflects about the last ten samples. */
  private static final double SAMPLE_WEIGHT = 0.15;

  /** Time in which an estimate loses two thirds of its weight if no sample follows. */
  private static final double DECAY_NANOS = 3_000_000_000.0;

  /** Upper limit of a sample as a multiple of the initial estimate, to limit outliers. */
  private static final double MAX_SAMPLE_TO_INITIAL_RATIO = 20;

  private static final class Estimate {
    private double workNanos;
    private long lastSampleNanos;
  }

  private final Map<RuleName, Estimate> byRule = new HashMap<>();

  /** Adds the service time of one request, already divided by the slowdown at its start. */
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

  /** {@return the expected service time of a request of the rule, in nanoseconds} */
  double expectedNanos(RuleName rule, double initialEstimateNanos, long nowNanos) {
    Estimate estimate = byRule.get(rule);
    return estimate == null
        ? initialEstimateNanos
        : decayedNanos(estimate, initialEstimateNanos, nowNanos);
  }

  // Only estimates above the initial one decay, because only these cause requests to be refused.
  private static double decayedNanos(
      Estimate estimate, double initialEstimateNanos, long nowNanos) {
    if (estimate.lastSampleNanos == 0 || estimate.workNanos <= initialEstimateNanos) {
      return estimate.lastSampleNanos == 0 ? initialEstimateNanos : estimate.workNanos;
    }
    double weight = Math.exp(-(nowNanos - estimate.lastSampleNanos) / DECAY_NANOS);
    return initialEstimateNanos + weight * (estimate.workNanos - initialEstimateNanos);
  }

  /** Forgets all estimates if there are too many, as of rules that are no longer in force. */
  void clearIfOver(int maxRules) {
    if (byRule.size() > maxRules) {
      byRule.clear();
    }
  }
}
