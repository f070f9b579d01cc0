package org.amaranthmoor.target;

/**
 * Judges by its answers whether the target beside this node can be used.
 *
 * <p>Answers a target that hangs, and one that has crashed: once none of the last requests was
 * answered, only one request at a time tries it, now and then, until some are. A target that fails
 * only a part of its requests stays in use, because in a burst the rest is worth more than none;
 * the entry sides prefer others. Safe for use by several threads.
 */
public final class TargetHealth {

  /** Failures in a row from which the target is tried only now and then. */
  private static final int FAILURE_THRESHOLD = 12;

  /** Failures that one silence until a deadline counts for, as each takes a slot for long. */
  private static final int FAILURES_PER_TIMEOUT = 3;

  /** Failures in a row below which the target is used again; each success halves their number. */
  private static final int RECOVERED_FAILURES = 4;

  /** Time between two tries of a target that fails, in nanoseconds. */
  private static final long TRIAL_INTERVAL_NANOS = 400_000_000L;

  /** Time for which a target that accepts no connection is not tried, in nanoseconds. */
  private static final long CONNECTION_REFUSED_PAUSE_NANOS = 200_000_000L;

  private int failures;
  private boolean failing;
  private long nextTrialNanos;
  private boolean answered;
  private long lastAnswerNanos;

  /** Creates a health without any failure. */
  public TargetHealth() {}

  /** Forgets everything, as for a new run of the target. */
  public synchronized void reset() {
    failures = 0;
    failing = false;
    answered = false;
  }

  /**
   * Decides whether a request may go to the target.
   *
   * @param repeatable whether the request may be lost without harm, so that it may try a target
   *     that fails
   * @param nowNanos the current time
   * @return whether it may go there
   */
  public synchronized boolean allowsRequest(boolean repeatable, long nowNanos) {
    if (!failing) {
      return true;
    }
    if (!repeatable || nowNanos < nextTrialNanos) {
      return false;
    }
    nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
    return true;
  }

  /**
   * Takes in the end of a request at the target.
   *
   * @param failed whether the target failed
   * @param nowNanos the current time
   * @return whether the target has just begun or ceased to count as failing
   */
  public synchronized boolean onEnd(boolean failed, long nowNanos) {
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
   * Takes in that the target gave no answer before a request's deadline.
   *
   * <p>Answers a target that is slow after its start or in a burst: one that answered others while
   * the request waited is slow, not silent, and failing it would take its slots from the callers.
   *
   * @param startNanos when the request was handed over
   * @param nowNanos the current time
   * @return whether the target has just begun to count as failing
   */
  public synchronized boolean onNoAnswer(long startNanos, long nowNanos) {
    boolean answeredOthers = answered && lastAnswerNanos - startNanos > 0;
    return !answeredOthers && onFailures(FAILURES_PER_TIMEOUT, nowNanos);
  }

  /**
   * Takes in that the target accepted no connection.
   *
   * @param nowNanos the current time
   * @return whether the target has just begun to count as failing
   */
  public synchronized boolean onConnectionRefused(long nowNanos) {
    boolean before = failing;
    failing = true;
    failures = FAILURE_THRESHOLD;
    nextTrialNanos = nowNanos + CONNECTION_REFUSED_PAUSE_NANOS;
    return !before;
  }

  /** {@return whether the target is tried only now and then} */
  public synchronized boolean failing() {
    return failing;
  }
}
