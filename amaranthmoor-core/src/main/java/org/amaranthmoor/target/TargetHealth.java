package org.amaranthmoor.target;

/**
 * Circuit breaker for this node's target, driven by the results of its requests.
 *
 * <p>Detects a target that hangs or has crashed. Once none of the last requests was answered, the
 * target counts as failing: single requests are let through at intervals as trials, until enough of
 * them are answered. A target that fails only some of its requests stays in use, because in a burst
 * the answered ones are better than none; the entry sides prefer other targets. Safe for use by
 * several threads.
 */
public final class TargetHealth {

  /** Consecutive failures from which the target counts as failing. */
  private static final int FAILURE_THRESHOLD = 12;

  /** Failures that one missing answer counts for, because it takes a slot until the deadline. */
  private static final int FAILURES_PER_TIMEOUT = 3;

  /** Failures below which a failing target is used again; each success halves their number. */
  private static final int RECOVERED_FAILURES = 4;

  /** Time between two trial requests to a failing target, in nanoseconds. */
  private static final long TRIAL_INTERVAL_NANOS = 400_000_000L;

  /** Time until the next trial after the target refused a connection, in nanoseconds. */
  private static final long CONNECTION_REFUSED_PAUSE_NANOS = 200_000_000L;

  private int failures;
  private boolean failing;
  private long nextTrialNanos;
  private boolean answered;
  private long lastAnswerNanos;

  /** Creates the health of a target without failures. */
  public TargetHealth() {}

  /** Resets the health for a new run of the target. */
  public synchronized void reset() {
    failures = 0;
    failing = false;
    answered = false;
  }

  /**
   * Decides whether a request may be sent to the target.
   *
   * @param idempotent whether the request may be run again, so that it may be lost without harm and
   *     may serve as a trial of a failing target
   * @param nowNanos the current time
   * @return whether it may be sent
   */
  public synchronized boolean allowsRequest(boolean idempotent, long nowNanos) {
    if (!failing) {
      return true;
    }
    if (!idempotent || nowNanos < nextTrialNanos) {
      return false;
    }
    nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
    return true;
  }

  /**
   * Records the end of a request at the target.
   *
   * @param failed whether the target failed the request
   * @param nowNanos the current time
   * @return whether the target has just become failing, or has just recovered
   */
  public synchronized boolean onExchangeEnd(boolean failed, long nowNanos) {
    if (failed) {
      return onFailures(1, nowNanos);
    }
    answered = true;
    lastAnswerNanos = nowNanos;
    failures = failing ? failures / 2 : 0;
    boolean recovered = failing && failures < RECOVERED_FAILURES;
    failing = failing && !recovered;
    return recovered;
  }

  private boolean onFailures(int count, long nowNanos) {
    boolean before = failing;
    failures = Math.min(FAILURE_THRESHOLD, failures + count);
    if (!failing && failures >= FAILURE_THRESHOLD) {
      failing = true;
      nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
    }
    return failing != before;
  }

  /**
   * Records that the target did not answer before a request's deadline.
   *
   * <p>This does not count if the target answered other requests in the meantime. Such a target is
   * slow, as after its start or in a burst, but does not hang, and callers would lose its slots if
   * it counted as failing.
   *
   * @param startNanos when the request was handed over
   * @param nowNanos the current time
   * @return whether the target has just become failing
   */
  public synchronized boolean onTimeout(long startNanos, long nowNanos) {
    boolean answeredOthers = answered && lastAnswerNanos - startNanos > 0;
    return !answeredOthers && onFailures(FAILURES_PER_TIMEOUT, nowNanos);
  }

  /**
   * Records that the target refused a connection, which makes it failing immediately.
   *
   * @param nowNanos the current time
   * @return whether the target has just become failing
   */
  public synchronized boolean onConnectionRefused(long nowNanos) {
    boolean before = failing;
    failing = true;
    failures = FAILURE_THRESHOLD;
    nextTrialNanos = nowNanos + CONNECTION_REFUSED_PAUSE_NANOS;
    return !before;
  }

  /** {@return whether the target is failing, so that only trial requests are sent to it} */
  public synchronized boolean failing() {
    return failing;
  }
}
