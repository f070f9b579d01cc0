package org.amaranthmoor.target;

import java.util.OptionalLong;

/**
 * Decides when a broken exchange causes a check whether the target's process has crashed.
 *
 * <p>Covers three load patterns. In a crash, all exchanges in progress break together, and the
 * first check must come before any of their callers retries. A process that ends may close its port
 * after its connections, so exchanges that broke before an accepted check wait for another one. If
 * a target accepts connections and breaks them off at once, each check would cost it one more
 * connection and its callers the time of the check, so these exchanges wait, too.
 *
 * <p>Invariant: each broken exchange is followed by a check that begins later, unless a check at
 * once finds the crash: the deferred one, after at most {@link #CHECK_INTERVAL_NANOS}. Not safe for
 * use by several threads.
 */
public final class CrashCheckPolicy {

  /** Time over which checks at once are counted, and after which a deferred check is made. */
  public static final long CHECK_INTERVAL_NANOS = 100_000_000L;

  /**
   * Largest number of checks at once in an interval. A second one is needed for exchanges that
   * broke while the first was under way.
   */
  static final int MAX_CHECKS_PER_INTERVAL = 2;

  /** What follows a broken exchange. */
  public enum Decision {
    /** Check now; if the target accepts, check again after the interval. */
    CHECK,
    /** Check together with other broken exchanges after the interval. */
    CHECK_LATER
  }

  // Start of the last check, if the target accepted it.
  private OptionalLong acceptedCheckNanos = OptionalLong.empty();
  private long intervalStartNanos;
  private int checksInInterval;

  /** Creates a policy for a target that has not been checked. */
  public CrashCheckPolicy() {}

  /**
   * Decides what follows a broken exchange.
   *
   * @param handOverNanos when the request was handed over
   * @param brokenNanos when the exchange broke
   * @return the decision
   */
  public Decision onBroken(long handOverNanos, long brokenNanos) {
    if (acceptedCheckNanos.isEmpty()) {
      return Decision.CHECK;
    }
    long accepted = acceptedCheckNanos.getAsLong();
    if (brokenNanos - accepted <= 0) {
      return Decision.CHECK_LATER;
    }
    if (brokenNanos - intervalStartNanos >= CHECK_INTERVAL_NANOS) {
      return Decision.CHECK;
    }
    boolean handedOverAfterCheck = handOverNanos - accepted >= 0;
    return handedOverAfterCheck || checksInInterval >= MAX_CHECKS_PER_INTERVAL
        ? Decision.CHECK_LATER
        : Decision.CHECK;
  }

  /**
   * Records a check.
   *
   * @param startNanos when the check began
   * @param accepted whether the target accepted it, so that its process was running
   */
  public void onCheck(long startNanos, boolean accepted) {
    boolean newInterval =
        acceptedCheckNanos.isEmpty() || startNanos - intervalStartNanos >= CHECK_INTERVAL_NANOS;
    intervalStartNanos = newInterval ? startNanos : intervalStartNanos;
    checksInInterval = newInterval ? 1 : checksInInterval + 1;
    acceptedCheckNanos = accepted ? OptionalLong.of(startNanos) : OptionalLong.empty();
  }
}
