package org.amaranthmoor.caller;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Limits retries to a share of first attempts.
 *
 * <p>Invariant: retries allowed so far are at most {@code share * first attempts + burst}. Safe for
 * use by several threads; lock-free.
 */
public final class RetryBudget {

  private static final long MILLIS_PER_TOKEN = 1_000;

  private final long gainPerFirstAttempt;
  private final long limit;
  // Thousandths of a retry that may still be made.
  private final AtomicLong balance;

  /**
   * Creates a full budget.
   *
   * @param share retries per first attempt, at least 0
   * @param burst most retries saved up, at least 1
   */
  public RetryBudget(double share, int burst) {
    if (!(share >= 0) || burst < 1) {
      throw new IllegalArgumentException(
          "share must be at least 0 and burst at least 1, but were: " + share + ", " + burst);
    }
    this.gainPerFirstAttempt = Math.round(share * MILLIS_PER_TOKEN);
    this.limit = burst * MILLIS_PER_TOKEN;
    this.balance = new AtomicLong(limit);
  }

  /** Counts a first attempt. */
  public void onFirstAttempt() {
    balance.accumulateAndGet(gainPerFirstAttempt, (now, gain) -> Math.min(limit, now + gain));
  }

  /**
   * Takes one retry from the budget.
   *
   * @return whether the retry may be made
   */
  public boolean tryRetry() {
    long before =
        balance.getAndUpdate(now -> now >= MILLIS_PER_TOKEN ? now - MILLIS_PER_TOKEN : now);
    return before >= MILLIS_PER_TOKEN;
  }
}
