package org.amaranthmoor.target;

/**
 * Judges by its answers whether the target beside this node can be used.
 *
 * <p>Answers a target that fails part of its requests while its health check is good, one that
 * hangs, and one that has crashed: once most of the last requests failed, only one request at a
 * time tries it, now and then, until some succeed. Safe for use by several threads.
 */
public final class TargetHealth {

  /** Weight of a new sample in the share of failures; about the last ten samples count. */
  private static final double WEIGHT = 0.15;

  /** Share of failures beyond which the target is tried only now and then. */
  private static final double MAX_FAILURE_SHARE = 0.5;

  /** Share of failures below which the target is used again. */
  private static final double RECOVERED_SHARE = 0.3;

  /** Time between two tries of a target that fails, in nanoseconds. */
  private static final long TRIAL_NANOS = 400_000_000L;

  /** Time for which a target that accepts no connection is not tried, in nanoseconds. */
  private static final long REFUSED_NANOS = 200_000_000L;

  private double failureShare;
  private boolean failing;
  private long nextTrialNanos;
  private boolean answered;
  private long lastAnswerNanos;

  /** Creates a health without any failure. */
  public TargetHealth() {}

  /** Forgets everything, as for a new run of the target. */
  public synchronized void reset() {
    failureShare = 0;
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
  public synchronized boolean mayTry(boolean repeatable, long nowNanos) {
    if (!failing) {
      return true;
    }
    if (!repeatable || nowNanos < nextTrialNanos) {
      return false;
    }
    nextTrialNanos = nowNanos + TRIAL_NANOS;
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
    boolean before = failing;
    if (!failed) {
      answered = true;
      lastAnswerNanos = nowNanos;
    }
    failureShare += WEIGHT * ((failed ? 1 : 0) - failureShare);
    if (!failing && failureShare > MAX_FAILURE_SHARE) {
      failing = true;
      nextTrialNanos = nowNanos + TRIAL_NANOS;
    } else if (failing && failureShare < RECOVERED_SHARE) {
      failing = false;
    }
    return before != failing;
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
    return !answeredOthers && onEnd(true, nowNanos);
  }

  /**
   * Takes in that the target accepted no connection.
   *
   * @param nowNanos the current time
   * @return whether the target has just begun to count as failing
   */
  public synchronized boolean onRefused(long nowNanos) {
    boolean before = failing;
    failing = true;
    failureShare = Math.max(failureShare, MAX_FAILURE_SHARE);
    nextTrialNanos = nowNanos + REFUSED_NANOS;
    return !before;
  }

  /** {@return whether the target is tried only now and then} */
  public synchronized boolean failing() {
    return failing;
  }
}
