package org.amaranthmoor.target;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Spaces the requests to a target by the rate that it states in its answers.
 *
 * <p>Answers a target in need: it names the requests a second that it takes from all nodes
 * together, and every request to it passes this one place. Invariants: while a rate is in force, at
 * most rate * t + max(1, rate * {@link #SAVED_SECONDS}) requests start in any t seconds; a rate
 * ends only with an answer to a request that was sent after the rate was last named. What other
 * nodes remember counts only until the first answer. Not safe for use by several threads by itself;
 * {@link Admission} guards it.
 */
final class StatedRate {

  /** Unused time whose requests may start at once later, in seconds. */
  static final double SAVED_SECONDS = 0.25;

  /**
   * Requests a second that are sent however low the rate is, as only an answer shows that the rate
   * has ended.
   */
  static final double LEAST_RATE = 0.25;

  private static final double NANOS_PER_SECOND = 1e9;

  private OptionalDouble perSecond = OptionalDouble.empty();
  // Whether this process has received an answer of the target.
  private boolean observed;
  // Whether a rate has been named, even if it has ended.
  private boolean named;
  private long namedNanos;
  private long lastStartNanos;
  // Earliest time of the next start.
  private long nextStartNanos;

  /**
   * Takes in an answer that names a rate.
   *
   * @param rate requests a second
   * @param nowNanos when the answer arrived
   */
  void onNamed(double rate, long nowNanos) {
    observed = true;
    namedNanos = nowNanos;
    set(rate, nowNanos);
  }

  /**
   * Takes in a rate that an earlier process of this node received, as another node remembers it. It
   * holds until the first answer; until then the lowest of several counts.
   *
   * @param rate requests a second
   * @param nowNanos the current time
   * @return whether it has changed the rate
   */
  boolean onRemembered(double rate, long nowNanos) {
    if (observed || (limits() && perSecond.getAsDouble() <= Math.max(LEAST_RATE, rate))) {
      return false;
    }
    set(rate, nowNanos);
    return true;
  }

  private void set(double rate, long nowNanos) {
    named = true;
    double effective = Math.max(LEAST_RATE, rate);
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
  boolean onUnnamed(long sentNanos) {
    boolean ends = perSecond.isPresent() && (!observed || sentNanos - namedNanos > 0);
    observed = true;
    if (ends) {
      perSecond = OptionalDouble.empty();
    }
    return ends;
  }

  /** Forgets everything, as for a new run of the target. */
  void reset() {
    perSecond = OptionalDouble.empty();
    observed = false;
    named = false;
  }

  /** {@return what is known of the rate, also that it has ended; empty if none was ever named} */
  Optional<TargetNotice.Limit> stated() {
    if (!named) {
      return Optional.empty();
    }
    return Optional.of(
        limits()
            ? new TargetNotice.Limit.Rate(perSecond.getAsDouble())
            : new TargetNotice.Limit.Unstated());
  }

  /** {@return the requests a second that are sent at most; empty without a limit} */
  OptionalDouble perSecond() {
    return perSecond;
  }

  /** {@return whether a rate is in force} */
  boolean limits() {
    return perSecond.isPresent();
  }

  /** {@return whether a request may start now} */
  boolean mayStart(long nowNanos) {
    return !limits() || nowNanos - nextStartNanos >= 0;
  }

  /** Notes that a request starts. */
  void onStart(long nowNanos) {
    lastStartNanos = nowNanos;
    if (limits()) {
      long saved = (long) Math.max(0, SAVED_SECONDS * NANOS_PER_SECOND - intervalNanos());
      nextStartNanos = Math.max(nextStartNanos, nowNanos - saved) + intervalNanos();
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
    return limits() ? Math.max(0, nextStartNanos + ahead * intervalNanos() - nowNanos) : 0;
  }

  private long intervalNanos() {
    return (long) (NANOS_PER_SECOND / perSecond.orElseThrow());
  }
}
