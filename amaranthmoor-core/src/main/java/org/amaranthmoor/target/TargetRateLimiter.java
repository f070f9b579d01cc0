package org.amaranthmoor.target;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Spaces the requests to a target by the rate that it states in its answers.
 *
 * <p>Answers a target in need: it names the requests a second that it takes from all nodes
 * together, and every request to it passes this one place. Invariants: while a rate is in force, at
 * most rate * t + max(1, rate * {@link #BURST_SECONDS}) requests start in any t seconds; a rate
 * ends only with an answer to a request that was sent after the rate was last named. What other
 * nodes remember counts only until the first answer. Not safe for use by several threads by itself;
 * {@link Admission} guards it.
 */
final class TargetRateLimiter {

  /** Unused time whose requests may start at once later, in seconds. */
  static final double BURST_SECONDS = 0.25;

  /**
   * Requests a second that are sent however low the rate is, as only an answer shows that the rate
   * has ended.
   */
  static final double MIN_RATE_PER_SECOND = 0.25;

  private static final double NANOS_PER_SECOND = 1e9;

  private OptionalDouble perSecond = OptionalDouble.empty();
  // Whether this process has received an answer of the target.
  private boolean answerReceived;
  // Whether a rate has been named, even if it has ended.
  private boolean everStated;
  private long lastStatedNanos;
  private long lastStartNanos;
  // Earliest time of the next start.
  private long nextStartNanos;

  /**
   * Takes in an answer that names a rate.
   *
   * @param rate requests a second
   * @param nowNanos when the answer arrived
   */
  void onRateStated(double rate, long nowNanos) {
    answerReceived = true;
    lastStatedNanos = nowNanos;
    setRate(rate, nowNanos);
  }

  /**
   * Takes in a rate that an earlier process of this node received, as another node remembers it. It
   * holds until the first answer; until then the lowest of several counts.
   *
   * @param rate requests a second
   * @param nowNanos the current time
   * @return whether it has changed the rate
   */
  boolean onRememberedRate(double rate, long nowNanos) {
    if (answerReceived
        || (isLimiting() && perSecond.getAsDouble() <= Math.max(MIN_RATE_PER_SECOND, rate))) {
      return false;
    }
    setRate(rate, nowNanos);
    return true;
  }

  private void setRate(double rate, long nowNanos) {
    everStated = true;
    double effective = Math.max(MIN_RATE_PER_SECOND, rate);
    if (perSecond.isPresent() && perSecond.getAsDouble() == effective) {
      return;
    }
    if (perSecond.isEmpty()) {
      lastStartNanos = nowNanos;
    }
    perSecond = OptionalDouble.of(effective);
    nextStartNanos = lastStartNanos + intervalNanos();
  }

  /**
   * Takes in an answer that names no rate.
   *
   * @param sentNanos when its request was sent
   * @return whether a rate was in force and has ended
   */
  boolean onNoRateStated(long sentNanos) {
    boolean ends = perSecond.isPresent() && (!answerReceived || sentNanos - lastStatedNanos > 0);
    answerReceived = true;
    if (ends) {
      perSecond = OptionalDouble.empty();
    }
    return ends;
  }

  /** Forgets everything, as for a new run of the target. */
  void reset() {
    perSecond = OptionalDouble.empty();
    answerReceived = false;
    everStated = false;
  }

  /** {@return what is known of the rate, also that it has ended; empty if none was ever named} */
  Optional<TargetNotice.Limit> lastStated() {
    if (!everStated) {
      return Optional.empty();
    }
    return Optional.of(
        isLimiting()
            ? new TargetNotice.Limit.Rate(perSecond.getAsDouble())
            : new TargetNotice.Limit.Unstated());
  }

  /** {@return the requests a second that are sent at most; empty without a limit} */
  OptionalDouble perSecond() {
    return perSecond;
  }

  /** {@return whether a rate is in force} */
  boolean isLimiting() {
    return perSecond.isPresent();
  }

  /** {@return whether a request may start now} */
  boolean allowsStart(long nowNanos) {
    return !isLimiting() || nowNanos - nextStartNanos >= 0;
  }

  /** Notes that a request starts. */
  void onStart(long nowNanos) {
    lastStartNanos = nowNanos;
    if (isLimiting()) {
      long burstNanos = (long) Math.max(0, BURST_SECONDS * NANOS_PER_SECOND - intervalNanos());
      nextStartNanos = Math.max(nextStartNanos, nowNanos - burstNanos) + intervalNanos();
    }
  }

  /**
   * Returns the time until a request may start.
   *
   * @param ahead requests that start before it
   * @param nowNanos the current time
   * @return the time in nanoseconds, 0 if it may start now
   */
  long waitNanos(int ahead, long nowNanos) {
    return isLimiting() ? Math.max(0, nextStartNanos + ahead * intervalNanos() - nowNanos) : 0;
  }

  private long intervalNanos() {
    return (long) (NANOS_PER_SECOND / perSecond.orElseThrow());
  }
}
