package org.amaranthmoor.target;

import java.util.Optional;
import java.util.OptionalDouble;

/**
 * Limits the requests to a target that cannot take its usual load, from two sources: the rate that
 * the target states in its answers, and the number of requests that it takes in a second while it
 * is cold.
 *
 * <p>Every request to the target passes this one limiter. Invariants:
 *
 * <ul>
 *   <li>While a stated rate is in force, at most rate * t + max(1, rate * {@link #BURST_SECONDS})
 *       requests start in any t seconds. A rate ends only with an answer to a request that was sent
 *       after the rate was last stated. A rate that other nodes remember applies only until the
 *       first answer.
 *   <li>While the target is cold, at most {@link ColdStart#maxPerSecond} requests are handed over
 *       within any second, however long the hand-over takes after the start. As a target may become
 *       cold at any moment, a warm one gets more than that only on a current report that it is
 *       warm.
 * </ul>
 *
 * <p>Not thread-safe; {@link Admission} guards it with its lock.
 */
final class TargetRateLimiter {

  /** Unused time for which requests may start in a burst later, in seconds. */
  static final double BURST_SECONDS = 0.25;

  /**
   * Lower limit of the rate in requests per second, because only an answer shows that the rate has
   * ended.
   */
  static final double MIN_RATE_PER_SECOND = 0.25;

  /**
   * Age up to which a report that the target is warm counts as current, in nanoseconds. Until the
   * next report, a target that has become cold may get its usual load.
   */
  static final long WARM_REPORT_NANOS = 150_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  private final HandOverWindow window;
  private OptionalDouble perSecond = OptionalDouble.empty();
  // Whether this process has received an answer of this run of the target.
  private boolean answerReceived;
  // Whether a rate has ever been stated, even if it has ended.
  private boolean everStated;
  private long lastStatedNanos;
  private long lastStartNanos;
  // Earliest time of the next start under the stated rate.
  private long nextStartNanos;
  private ColdStart coldStart = ColdStart.UNLIMITED;
  private boolean cold;
  private long coldUntilNanos;
  private boolean warmReported;
  private long warmReportNanos;

  /**
   * Creates a limiter without a limit.
   *
   * @param nowNanos the current time, before which an earlier process may have sent requests
   */
  TargetRateLimiter(long nowNanos) {
    this.window = new HandOverWindow(nowNanos);
  }

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
        || (isRateStated() && perSecond.getAsDouble() <= Math.max(MIN_RATE_PER_SECOND, rate))) {
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

  /** Discards the stated rate, because a new run of the target starts. */
  void reset() {
    perSecond = OptionalDouble.empty();
    answerReceived = false;
    everStated = false;
    warmReported = false;
  }

  /** Sets how many requests the target takes while it is cold. */
  void setColdStart(ColdStart changed) {
    coldStart = changed;
  }

  /**
   * Records that the target is cold. A later end that was reported before remains, because reports
   * may be delayed.
   *
   * @param untilNanos when it becomes warm
   */
  void onCold(long untilNanos) {
    coldUntilNanos = cold ? Math.max(coldUntilNanos, untilNanos) : untilNanos;
    cold = true;
    warmReported = false;
  }

  /** Records a response of the target itself that it is warm now. */
  void onWarm(long nowNanos) {
    warmReported = true;
    warmReportNanos = nowNanos;
  }

  /** {@return the rate in force, or that it has ended; empty if none was ever stated} */
  Optional<TargetNotice.Limit> lastStated() {
    if (!everStated) {
      return Optional.empty();
    }
    return Optional.of(
        isRateStated()
            ? new TargetNotice.Limit.Rate(perSecond.getAsDouble())
            : new TargetNotice.Limit.Unstated());
  }

  /** {@return the stated rate in force in requests per second; empty without one} */
  OptionalDouble perSecond() {
    return perSecond;
  }

  private boolean isRateStated() {
    return perSecond.isPresent();
  }

  /** {@return whether the target is cold and takes only so many requests in a second} */
  boolean isColdLimited(long nowNanos) {
    return coldStart.isLimited() && isCold(nowNanos);
  }

  private boolean isCold(long nowNanos) {
    if (cold && nowNanos - coldUntilNanos >= 0) {
      cold = false;
    }
    return cold;
  }

  /** {@return whether the target takes fewer requests than its slots allow} */
  boolean isLimiting(long nowNanos) {
    return isRateStated() || isColdLimited(nowNanos);
  }

  /** {@return whether a request may start now} */
  boolean allowsStart(long nowNanos) {
    boolean rateAllows = !isRateStated() || nowNanos - nextStartNanos >= 0;
    return rateAllows && (!isColdLimited(nowNanos) || windowWaitNanos(0, nowNanos) == 0);
  }

  /**
   * Returns whether the next request may start only after the target has reported that it is warm,
   * because it would exceed what the target takes while it is cold.
   *
   * @param nowNanos the current time
   * @return whether a current report is needed
   */
  boolean needsWarmReport(long nowNanos) {
    boolean current = warmReported && nowNanos - warmReportNanos <= WARM_REPORT_NANOS;
    return coldStart.isLimited()
        && !isCold(nowNanos)
        && !current
        && window.count(nowNanos) >= coldStart.maxPerSecond();
  }

  /** Records that a request starts; {@link #onHandOver} or {@link #onNotHandedOver} follows. */
  void onStart(long nowNanos) {
    lastStartNanos = nowNanos;
    window.onStart();
    if (isRateStated()) {
      long burstNanos = (long) Math.max(0, BURST_SECONDS * NANOS_PER_SECOND - intervalNanos());
      nextStartNanos = Math.max(nextStartNanos, nowNanos - burstNanos) + intervalNanos();
    }
  }

  /** Records that a request that has started is handed over now. */
  void onHandOver(long nowNanos) {
    window.onHandOver(nowNanos);
  }

  /** Records that a request that has started is not handed over. */
  void onNotHandedOver() {
    window.onNotHandedOver();
  }

  /**
   * Returns the time until a request may start.
   *
   * @param ahead number of requests that start before it
   * @param nowNanos the current time
   * @return the time in nanoseconds, 0 if it may start now
   */
  long waitNanos(int ahead, long nowNanos) {
    long rateWait =
        isRateStated() ? Math.max(0, nextStartNanos + ahead * intervalNanos() - nowNanos) : 0;
    return isColdLimited(nowNanos)
        ? Math.max(rateWait, windowWaitNanos(ahead, nowNanos))
        : rateWait;
  }

  // The limit ends with the cold start.
  private long windowWaitNanos(int ahead, long nowNanos) {
    return Math.min(
        window.waitNanos(coldStart.maxPerSecond(), ahead, nowNanos), coldUntilNanos - nowNanos);
  }

  private long intervalNanos() {
    return (long) (NANOS_PER_SECOND / perSecond.orElseThrow());
  }
}
