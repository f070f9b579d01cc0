package org.amaranthmoor.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Believes how much longer work takes at this moment: by the target's own lasting speed, and by the
 * slow phases that its neighbours cause.
 *
 * <p>Answers two load patterns. A noisy neighbour slows a target several times over for some
 * hundred milliseconds: a fresh report counts fully, and fades into the usual average. A target
 * that is slow for seconds is not in a phase that ends soon: the lowest factor of the last second
 * is its lasting one, if reports span more than a phase or the target has said that it is cold, and
 * a phase is what goes beyond that. Not safe for use by several threads by itself; {@link
 * Admission} guards it.
 */
final class SlowdownEstimator {

  /** Age up to which a report is taken to hold still: a small part of a usual phase. */
  private static final long FRESH_REPORT_NANOS = 50_000_000L;

  /** Factor beyond the lasting one from which work that can wait is better started later. */
  private static final double SLOW_FACTOR = 1.5;

  /** Time that a slow phase is expected to last still: half of a usual noisy phase. */
  private static final double EXPECTED_PHASE_REST_NANOS = 150_000_000.0;

  /** Time in which a report loses two thirds of its weight: half of a usual noisy phase. */
  private static final double REPORT_DECAY_NANOS = 150_000_000.0;

  /** Weight of a report in the long-run average. */
  private static final double AVERAGE_WEIGHT = 0.02;

  /** Time whose lowest factor is the lasting one: several usual noisy phases. */
  private static final long BASELINE_WINDOW_NANOS = 1_000_000_000L;

  /** Time that reports must span to tell a lasting factor from a phase: more than a usual one. */
  private static final long MIN_BASELINE_SPAN_NANOS = 400_000_000L;

  /** Reports kept to find the lowest at most. */
  private static final int MAX_REPORTS = 64;

  /** Worst phase expected before one was seen: what a noisy neighbour commonly costs. */
  private static final double INITIAL_WORST_PHASE_FACTOR = 4;

  private record Report(double factor, long atNanos) {}

  // Reports of the last second that no later one undercuts, with rising factors and times.
  private final Deque<Report> minima = new ArrayDeque<>();
  private double lastFactor = 1;
  private double averagePhaseFactor = 1;
  private double worstPhaseFactor = INITIAL_WORST_PHASE_FACTOR;
  private long lastReportNanos;
  // Time of the first report after the last gap of more than a second.
  private long spanStartNanos;
  private boolean everReported;
  private boolean cold;
  private long coldUntilNanos;
  private long probeFailedNanos;
  private boolean probeFailed;

  /** Takes in a report: 1 for the usual speed, 4 if work takes four times as long. */
  void onReport(double factor, long nowNanos) {
    while (!minima.isEmpty() && minima.getLast().factor() >= factor) {
      minima.removeLast();
    }
    if (minima.size() >= MAX_REPORTS) {
      minima.removeLast();
    }
    minima.addLast(new Report(factor, nowNanos));
    if (!everReported || nowNanos - lastReportNanos > BASELINE_WINDOW_NANOS) {
      spanStartNanos = nowNanos;
    }
    lastFactor = factor;
    lastReportNanos = nowNanos;
    everReported = true;
    probeFailed = false;
    double phaseFactor = factor / baseline(nowNanos);
    worstPhaseFactor =
        Math.max(phaseFactor, worstPhaseFactor + AVERAGE_WEIGHT * (phaseFactor - worstPhaseFactor));
    averagePhaseFactor += AVERAGE_WEIGHT * (phaseFactor - averagePhaseFactor);
  }

  /** Takes in that the target was asked for its speed and did not tell it. */
  void onProbeFailed(long nowNanos) {
    probeFailed = true;
    probeFailedNanos = nowNanos;
  }

  /** Takes in that the target is slow until a moment because it started a short while ago. */
  void onCold(long untilNanos) {
    cold = true;
    coldUntilNanos = untilNanos;
  }

  /**
   * {@return the factor by which work takes longer outside of slow phases, at least 1; 1 if nothing
   * tells a lasting factor from a phase}
   */
  double baseline(long nowNanos) {
    endCold(nowNanos);
    while (!minima.isEmpty() && nowNanos - minima.getFirst().atNanos() > BASELINE_WINDOW_NANOS) {
      minima.removeFirst();
    }
    boolean proven = cold || lastReportNanos - spanStartNanos >= MIN_BASELINE_SPAN_NANOS;
    return minima.isEmpty() || !proven ? 1 : Math.max(1, minima.getFirst().factor());
  }

  // What a cold target reported says nothing of it when it is warm.
  private void endCold(long nowNanos) {
    if (cold && nowNanos - coldUntilNanos >= 0) {
      cold = false;
      minima.clear();
      spanStartNanos = nowNanos;
    }
  }

  /** {@return the factor by which work that starts now is expected to take longer, at least 1} */
  double expectedFactor(long nowNanos) {
    if (!everReported) {
      return 1;
    }
    double baseline = baseline(nowNanos);
    double weight = Math.exp(-(nowNanos - lastReportNanos) / REPORT_DECAY_NANOS);
    double phaseFactor = averagePhaseFactor + weight * (lastFactor / baseline - averagePhaseFactor);
    return baseline * Math.max(1, phaseFactor);
  }

  /** {@return whether the newest report is so young that it holds still} */
  boolean isFresh(long nowNanos) {
    return everReported && nowNanos - lastReportNanos <= FRESH_REPORT_NANOS;
  }

  /** {@return whether the target was asked a moment ago and did not tell its speed} */
  boolean probeFailedRecently(long nowNanos) {
    return probeFailed && nowNanos - probeFailedNanos <= FRESH_REPORT_NANOS;
  }

  /** {@return whether the target tells its speed at all, as far as is known} */
  boolean hasReported() {
    return everReported;
  }

  /** {@return whether work is slow at this moment, as far as is known for sure} */
  boolean isInSlowPhase(long nowNanos) {
    return isFresh(nowNanos) && lastFactor >= SLOW_FACTOR * baseline(nowNanos);
  }

  /** {@return the time until work of a length ends if it starts at once, in nanoseconds} */
  double durationIfStartedNowNanos(double workNanos, long nowNanos) {
    return workNanos * expectedFactor(nowNanos);
  }

  /** {@return the time until work of a length ends if it starts outside of a slow phase} */
  double baselineDurationNanos(double workNanos, long nowNanos) {
    return workNanos * baseline(nowNanos);
  }

  /** {@return the time until work of a length ends if a slow phase is waited out first} */
  double durationAfterSlowPhaseNanos(double workNanos, long nowNanos) {
    return EXPECTED_PHASE_REST_NANOS + baselineDurationNanos(workNanos, nowNanos);
  }

  /** {@return whether work of a length would take longer than the time left in a slow phase} */
  boolean isTooLongInSlowPhase(double workNanos, double leftNanos, long nowNanos) {
    return baselineDurationNanos(workNanos, nowNanos) * Math.max(worstPhaseFactor, SLOW_FACTOR)
        > leftNanos;
  }

  /** {@return the age of the newest report in nanoseconds} */
  long lastReportAgeNanos(long nowNanos) {
    return everReported ? nowNanos - lastReportNanos : Long.MAX_VALUE;
  }

  /** {@return the factor of the newest report, 1 before the first} */
  double lastFactor() {
    return lastFactor;
  }
}
