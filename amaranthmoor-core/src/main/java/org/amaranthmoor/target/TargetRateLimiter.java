package org.amaranthmoor.target;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Limits the requests to a target to the rate that the target states in its answers.
 *
 * <p>A target that cannot take its usual load states how many requests per second it accepts from
 * all nodes together. Every request to the target passes this one limiter. Invariants: while a rate
 * is in force, at most rate * t + max(1, rate * {@link #BURST_SECONDS}) requests start in any t
 * seconds; a rate ends only with an answer to a request that was sent after the rate was last
 * stated. A rate that other nodes remember applies only until the first answer. Not thread-safe;
 * {@link Admission} guards it with its lock.
 */
final class TargetRateLimiter {

  /** Unused time for which requests may start in a burst later, in seconds. */
  static final double BURST_SECONDS = 0.25;

  /**
   * Lower limit of the rate in requests per second, because only an answer shows that the rate has
   * ended.
   */
  static final double MIN_RATE_PER_SECOND = 0.25;

  private static final double NANOS_PER_SECOND = 1e9;

  private OptionalDouble perSecond = OptionalDouble.empty();
  // Whether this process has received an answer of this run of the target.
  private boolean answerReceived;
  // Whether a rate has ever been stated, even if it has ended.
  private boolean everStated;
  private long lastStatedNanos;
  private long lastStartNanos;
  // Earliest time of the next start.
  private long nextStartNanos;

  /**
   * Records an answer that states a rate.
   *
   * @param rate the rate in requests per second
   * @param nowNanos when the answer arrived
   */
  void onRateStated(double rate, long nowNanos) {
    answerReceived = true;
    lastStatedNanos = nowNanos;
    setRate(rate, nowNanos);
  }

  /**
   * Records a rate that an earlier process of this node received and another node remembers. It
   * applies until the first answer; until then, the lowest of several remembered rates applies.
   *
   * @param rate the rate in requests per second
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
   * Records an answer that states no rate.
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

  /** Resets the limiter for a new run of the target. */
  void reset() {
    perSecond = OptionalDouble.empty();
    answerReceived = false;
    everStated = false;
  }

  /** {@return the rate in force, or that it has ended; empty if none was ever stated} */
  Optional<TargetNotice.Limit> lastStated() {
    if (!everStated) {
      return Optional.empty();
    }
    return Optional.of(
        isLimiting()
            ? new TargetNotice.Limit.Rate(perSecond.getAsDouble())
            : new TargetNotice.Limit.Unstated());
  }

  /** {@return the rate in force in requests per second; empty without a limit} */
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

  /** Records that a request starts. */
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
   * @param ahead number of requests that start before it
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
