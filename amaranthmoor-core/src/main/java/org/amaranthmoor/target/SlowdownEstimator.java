package org.amaranthmoor.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates by which factor work at the target takes longer than usual, from the target's reports.
 *
 * <p>The factor is the product of two parts:
 *
 * <ul>
 *   <li>The baseline holds for seconds, as after a cold start. It is the lowest factor reported in
 *       the last second, if reports span more than a usual slow phase or the target has said that
 *       it is cold; otherwise it is 1.
 *   <li>Slow phases go beyond the baseline. A noisy neighbour slows the target by several times for
 *       some hundred milliseconds. A fresh report counts fully and then decays to the long-run
 *       average.
 * </ul>
 *
 * <p>Not thread-safe; {@link Admission} guards it with its lock.
 */
final class SlowdownEstimator {

  /** Age up to which a report counts as current: a small part of a usual slow phase. */
  private static final long FRESH_REPORT_NANOS = 50_000_000L;

  /**
   * Factor relative to the baseline from which work that can wait should wait for the phase's end.
   */
  private static final double SLOW_FACTOR = 1.5;

  /** Expected remaining time of a slow phase: half of a usual one. */
  private static final double EXPECTED_PHASE_REST_NANOS = 150_000_000.0;

  /** Time in which a report loses two thirds of its weight: half of a usual slow phase. */
  private static final double REPORT_DECAY_NANOS = 150_000_000.0;

  /** Weight of a report in the long-run average. */
  private static final double AVERAGE_WEIGHT = 0.02;

  /** Time over which the lowest factor is the baseline: several usual slow phases. */
  private static final long BASELINE_WINDOW_NANOS = 1_000_000_000L;

  /** Time that reports must span to tell the baseline from a slow phase: more than a usual one. */
  private static final long MIN_BASELINE_SPAN_NANOS = 400_000_000L;

  /** Maximum number of reports kept to find the lowest. */
  private static final int MAX_REPORTS = 64;

  /** Factor of the worst slow phase before any was reported: that of a usual noisy neighbour. */
  private static final double INITIAL_WORST_PHASE_FACTOR = 4;

  private record Report(double factor, long atNanos) {}

  // Reports of the last second without a later one of the same or a lower factor: factors and times
  // both rise from first to last.
  private final Deque<Report> minima = new ArrayDeque<>();
  private double lastFactor = 1;
  private double averagePhaseFactor = 1;
  private double worstPhaseFactor = INITIAL_WORST_PHASE_FACTOR;
  private long lastReportNanos;
  // Time of the first report after the last gap of more than the baseline window.
  private long spanStartNanos;
  private boolean everReported;
  private boolean cold;
  private long coldUntilNanos;
  private long probeFailedNanos;
  private boolean probeFailed;

  /** Records a report: 1 for the usual speed, 4 if work takes four times as long. */
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

  /** Records that the target was probed for its speed and did not report it. */
  void onProbeFailed(long nowNanos) {
    probeFailed = true;
    probeFailedNanos = nowNanos;
  }

  /** Records that the target is slow until the given time, as it started only recently. */
  void onCold(long untilNanos) {
    cold = true;
    coldUntilNanos = untilNanos;
  }

  /**
   * {@return the factor by which work takes longer outside of slow phases, at least 1; 1 if reports
   * do not suffice to tell it from a slow phase}
   */
  double baseline(long nowNanos) {
    endCold(nowNanos);
    while (!minima.isEmpty() && nowNanos - minima.getFirst().atNanos() > BASELINE_WINDOW_NANOS) {
      minima.removeFirst();
    }
    boolean proven = cold || lastReportNanos - spanStartNanos >= MIN_BASELINE_SPAN_NANOS;
    return minima.isEmpty() || !proven ? 1 : Math.max(1, minima.getFirst().factor());
  }

  // Reports of a cold target do not apply to the warm one.
  private void endCold(long nowNanos) {
    if (cold && nowNanos - coldUntilNanos >= 0) {
      cold = false;
      minima.clear();
      spanStartNanos = nowNanos;
    }
  }

  /** {@return the expected factor for work that starts now, at least 1} */
  double expectedFactor(long nowNanos) {
    if (!everReported) {
      return 1;
    }
    double baseline = baseline(nowNanos);
    double weight = Math.exp(-(nowNanos - lastReportNanos) / REPORT_DECAY_NANOS);
    double phaseFactor = averagePhaseFactor + weight * (lastFactor / baseline - averagePhaseFactor);
    return baseline * Math.max(1, phaseFactor);
  }

  /** {@return whether the last report is recent enough to count as current} */
  boolean isFresh(long nowNanos) {
    return everReported && nowNanos - lastReportNanos <= FRESH_REPORT_NANOS;
  }

  /** {@return whether a recent probe of the target's speed failed} */
  boolean probeFailedRecently(long nowNanos) {
    return probeFailed && nowNanos - probeFailedNanos <= FRESH_REPORT_NANOS;
  }

  /** {@return whether the target has ever reported its speed} */
  boolean hasReported() {
    return everReported;
  }

  /** {@return whether the target is in a slow phase according to a current report} */
  boolean isInSlowPhase(long nowNanos) {
    return isFresh(nowNanos) && lastFactor >= SLOW_FACTOR * baseline(nowNanos);
  }

  /** {@return the duration of work that starts now, in nanoseconds} */
  double durationIfStartedNowNanos(double workNanos, long nowNanos) {
    return workNanos * expectedFactor(nowNanos);
  }

  /** {@return the duration of work that runs outside of a slow phase, in nanoseconds} */
  double baselineDurationNanos(double workNanos, long nowNanos) {
    return workNanos * baseline(nowNanos);
  }

  /** {@return the time until work ends that starts after the slow phase, in nanoseconds} */
  double durationAfterSlowPhaseNanos(double workNanos, long nowNanos) {
    return EXPECTED_PHASE_REST_NANOS + baselineDurationNanos(workNanos, nowNanos);
  }

  /** {@return whether work would take longer in a slow phase than the time left} */
  boolean isTooLongInSlowPhase(double workNanos, double leftNanos, long nowNanos) {
    return baselineDurationNanos(workNanos, nowNanos) * Math.max(worstPhaseFactor, SLOW_FACTOR)
        > leftNanos;
  }

  /** {@return the age of the last report in nanoseconds, or the maximum before the first} */
  long lastReportAgeNanos(long nowNanos) {
    return everReported ? nowNanos - lastReportNanos : Long.MAX_VALUE;
  }

  /** {@return the factor of the last report, 1 before the first} */
  double lastFactor() {
    return lastFactor;
  }
}
