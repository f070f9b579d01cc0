package org.amaranthmoor.caller;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntSupplier;
import org.amaranthmoor.model.TeamName;

/**
 * Limits retries to a share of first attempts.
 *
 * <p>Inherited retries are nested calls whose parent request is a retry. Invariant: the retries
 * allowed so far and the inherited retries are together at most {@code share * first attempts +
 * burst}, as long as the inherited retries alone are not more. Within that, {@link TeamRetries}
 * keeps a team from taking the retries of others. Safe for use by several threads; without teams
 * lock-free.
 */
public final class RetryBudget {

  private static final long UNITS_PER_RETRY = 1_000;

  /** Share of the burst that is left to teams that have not used up their own part. */
  private static final double RESERVED_SHARE = 0.5;

  private final long unitsPerFirstAttempt;
  private final IntSupplier burst;
  // Retries that may still be made, in thousandths; negative after many inherited retries.
  private final AtomicLong balanceUnits;
  private final TeamRetries teamRetries = new TeamRetries(UNITS_PER_RETRY);

  /**
   * Creates a full budget.
   *
   * @param share retries per first attempt, at least 0
   * @param burst most retries that can be saved up, at least 1
   */
  public RetryBudget(double share, int burst) {
    this(share, () -> burst, burst);
  }

  private RetryBudget(double share, IntSupplier burst, int initialRetries) {
    if (!(share >= 0) || burst.getAsInt() < 1) {
      throw new IllegalArgumentException(
          "share must be at least 0 and burst at least 1, but were: "
              + share
              + ", "
              + burst.getAsInt());
    }
    this.unitsPerFirstAttempt = Math.round(share * UNITS_PER_RETRY);
    this.burst = burst;
    this.balanceUnits = new AtomicLong(initialRetries * UNITS_PER_RETRY);
  }

  /**
   * Creates a budget with no retries saved up, for a node that may have spent its budget just
   * before a restart.
   *
   * @param share retries per first attempt, at least 0
   * @param burst most retries that can be saved up, at least 1; may change, as with the number of
   *     nodes that share it
   * @return the budget
   */
  public static RetryBudget empty(double share, IntSupplier burst) {
    return new RetryBudget(share, burst, 0);
  }

  private long maxBalanceUnits() {
    return burst.getAsInt() * UNITS_PER_RETRY;
  }

  /** Counts a first attempt of a call without a team. */
  public void onFirstAttempt() {
    onFirstAttempt(Optional.empty());
  }

  /**
   * Counts a first attempt.
   *
   * @param team the team of the call, or empty if it belongs to none
   */
  public void onFirstAttempt(Optional<TeamName> team) {
    teamRetries.onFirstAttempt(team, unitsPerFirstAttempt, maxBalanceUnits());
    balanceUnits.accumulateAndGet(
        unitsPerFirstAttempt, (now, gain) -> Math.min(maxBalanceUnits(), now + gain));
  }

  /**
   * Counts an inherited retry. The budget cannot refuse it, because the request that waits for it
   * is running already, but fewer retries are left.
   */
  public void onInheritedRetry() {
    balanceUnits.accumulateAndGet(
        UNITS_PER_RETRY, (now, cost) -> Math.max(-maxBalanceUnits(), now - cost));
  }

  /**
   * Takes one retry for a call without a team from the budget.
   *
   * @return whether the retry may be made
   */
  public boolean tryRetry() {
    return tryRetry(Optional.empty());
  }

  /**
   * Takes one retry from the budget.
   *
   * @param team the team of the call, or empty if it belongs to none
   * @return whether the retry may be made
   */
  public boolean tryRetry(Optional<TeamName> team) {
    long neededUnits =
        teamRetries.mayRetry(team)
            ? UNITS_PER_RETRY
            : UNITS_PER_RETRY + (long) (RESERVED_SHARE * maxBalanceUnits());
    long before =
        balanceUnits.getAndUpdate(now -> now >= neededUnits ? now - UNITS_PER_RETRY : now);
    boolean taken = before >= neededUnits;
    if (taken) {
      teamRetries.onRetry(team, maxBalanceUnits());
    }
    return taken;
  }

  /**
   * Takes one copy of a slow request from the budget. The lower half of the budget is kept for
   * retries of requests that have failed; a budget of a single retry must be full.
   *
   * @return whether the copy may be sent
   */
  public boolean tryHedge() {
    long reserveUnits = maxBalanceUnits() / 2;
    long neededUnits = Math.min(maxBalanceUnits(), reserveUnits + UNITS_PER_RETRY);
    long before =
        balanceUnits.getAndUpdate(now -> now >= neededUnits ? now - UNITS_PER_RETRY : now);
    return before >= neededUnits;
  }
}
