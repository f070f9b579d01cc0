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
final class Slowdown {

  /** Age up to which a report is taken to hold still: a small part of a usual phase. */
  private static final long FRESH_NANOS = 50_000_000L;

  /** Factor beyond the lasting one from which work that can wait is better started later. */
  private static final double SLOW_FACTOR = 1.5;

  /** Time that a slow phase is expected to last still: half of a usual noisy phase. */
  private static final double REST_OF_PHASE_NANOS = 150_000_000.0;

  /** Time in which a report loses two thirds of its weight: half of a usual noisy phase. */
  private static final double FADE_NANOS = 150_000_000.0;

  /** Weight of a report in the long-run average. */
  private static final double AVERAGE_WEIGHT = 0.02;

  /** Time whose lowest factor is the lasting one: several usual noisy phases. */
  private static final long LASTING_NANOS = 1_000_000_000L;

  /** Time that reports must span to tell a lasting factor from a phase: more than a usual one. */
  private static final long PROOF_NANOS = 400_000_000L;

  /** Reports kept to find the lowest at most. */
  private static final int MAX_REPORTS = 64;

  /** Worst phase expected before one was seen: what a noisy neighbour commonly costs. */
  private static final double FIRST_WORST_PHASE = 4;

  private record Report(double factor, long atNanos) {}

  // Reports of the last second that no later one undercuts, with rising factors and times.
  private final Deque<Report> lowest = new ArrayDeque<>();
  private double reported = 1;
  private double averagePhase = 1;
  private double worstPhase = FIRST_WORST_PHASE;
  private long atNanos;
  // Time of the first report after the last gap of more than a second.
  private long sinceNanos;
  private boolean known;
  private boolean cold;
  private long coldUntilNanos;
  private long failedNanos;
  private boolean failed;

  /** Takes in a report: 1 for the usual speed, 4 if work takes four times as long. */
  void onReport(double factor, long nowNanos) {
    while (!lowest.isEmpty() && lowest.getLast().factor() >= factor) {
      lowest.removeLast();
    }
    if (lowest.size() >= MAX_REPORTS) {
      lowest.removeLast();
    }
    lowest.addLast(new Report(factor, nowNanos));
    if (!known || nowNanos - atNanos > LASTING_NANOS) {
      sinceNanos = nowNanos;
    }
    reported = factor;
    atNanos = nowNanos;
    known = true;
    failed = false;
    double phase = factor / lasting(nowNanos);
    worstPhase = Math.max(phase, worstPhase + AVERAGE_WEIGHT * (phase - worstPhase));
    averagePhase += AVERAGE_WEIGHT * (phase - averagePhase);
  }

  /** Takes in that the target was asked for its speed and did not tell it. */
  void onUnknown(long nowNanos) {
    failed = true;
    failedNanos = nowNanos;
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
  double lasting(long nowNanos) {
    endCold(nowNanos);
    while (!lowest.isEmpty() && nowNanos - lowest.getFirst().atNanos() > LASTING_NANOS) {
      lowest.removeFirst();
    }
    boolean proven = cold || atNanos - sinceNanos >= PROOF_NANOS;
    return lowest.isEmpty() || !proven ? 1 : Math.max(1, lowest.getFirst().factor());
  }

  // What a cold target reported says nothing of it when it is warm.
  private void endCold(long nowNanos) {
    if (cold && nowNanos - coldUntilNanos >= 0) {
      cold = false;
      lowest.clear();
      sinceNanos = nowNanos;
    }
  }

  /** {@return the factor by which work that starts now is expected to take longer, at least 1} */
  double expected(long nowNanos) {
    if (!known) {
      return 1;
    }
    double lasting = lasting(nowNanos);
    double weight = Math.exp(-(nowNanos - atNanos) / FADE_NANOS);
    double phase = averagePhase + weight * (reported / lasting - averagePhase);
    return lasting * Math.max(1, phase);
  }

  /** {@return whether the newest report is so young that it holds still} */
  boolean fresh(long nowNanos) {
    return known && nowNanos - atNanos <= FRESH_NANOS;
  }

  /** {@return whether the target was asked a moment ago and did not tell its speed} */
  boolean failedToTell(long nowNanos) {
    return failed && nowNanos - failedNanos <= FRESH_NANOS;
  }

  /** {@return whether the target tells its speed at all, as far as is known} */
  boolean told() {
    return known;
  }

  /** {@return whether work is slow at this moment, as far as is known for sure} */
  boolean slow(long nowNanos) {
    return fresh(nowNanos) && reported >= SLOW_FACTOR * lasting(nowNanos);
  }

  /** {@return the time until work of a length ends if it starts at once, in nanoseconds} */
  double atOnceNanos(double workNanos, long nowNanos) {
    return workNanos * expected(nowNanos);
  }

  /** {@return the time until work of a length ends if it starts outside of a slow phase} */
  double atBestNanos(double workNanos, long nowNanos) {
    return workNanos * lasting(nowNanos);
  }

  /** {@return the time until work of a length ends if a slow phase is waited out first} */
  double laterNanos(double workNanos, long nowNanos) {
    return REST_OF_PHASE_NANOS + atBestNanos(workNanos, nowNanos);
  }

  /** {@return whether work of a length would take longer than the time left in a slow phase} */
  boolean matters(double workNanos, double leftNanos, long nowNanos) {
    return atBestNanos(workNanos, nowNanos) * Math.max(worstPhase, SLOW_FACTOR) > leftNanos;
  }

  /** {@return the age of the newest report in nanoseconds} */
  long ageNanos(long nowNanos) {
    return known ? nowNanos - atNanos : Long.MAX_VALUE;
  }

  /** {@return the factor of the newest report, 1 before the first} */
  double lastReported() {
    return reported;
  }
}
