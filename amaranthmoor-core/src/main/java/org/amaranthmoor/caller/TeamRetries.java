package org.amaranthmoor.caller;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.model.TeamName;

/**
 * Records which part of a shared retry budget is due to each team.
 *
 * <p>A team may take as many retries as its own first attempts add to the budget, and one more to
 * begin with. Beyond that it may take only what is saved up above a reserve. Without this, a team
 * whose requests fail in large numbers takes every retry as soon as it is available, and the few
 * failed requests of others are not retried.
 *
 * <p>Invariants: at most {@link #MAX_FLOWS} accounts are kept, and the least recently used one is
 * discarded first; accounts are from minus to plus the burst. All calls without a team share one
 * account; as long as there is only one account, it may take every retry. Safe for use by several
 * threads.
 */
final class TeamRetries {

  /** Maximum number of accounts. */
  static final int MAX_FLOWS = 1_024;

  private final long unitsPerRetry;
  private final Map<Optional<TeamName>, Long> accounts =
      new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1;

        @Override
        protected boolean removeEldestEntry(Map.Entry<Optional<TeamName>, Long> eldest) {
          return size() > MAX_FLOWS;
        }
      };
  // Whether any call belonged to a team; without one, no account is needed.
  private volatile boolean teamsUsed;

  /**
   * Creates a record without accounts.
   *
   * @param unitsPerRetry units that a retry costs
   */
  TeamRetries(long unitsPerRetry) {
    this.unitsPerRetry = unitsPerRetry;
  }

  /** Adds to a flow's account what its first attempt adds to the budget. */
  void onFirstAttempt(Optional<TeamName> flow, long gainUnits, long maxUnits) {
    teamsUsed |= flow.isPresent();
    if (teamsUsed) {
      change(flow, gainUnits, maxUnits);
    }
  }

  /** Takes the cost of a retry from a flow's account. */
  void onRetry(Optional<TeamName> flow, long maxUnits) {
    if (teamsUsed) {
      change(flow, -unitsPerRetry, maxUnits);
    }
  }

  private synchronized void change(Optional<TeamName> flow, long units, long maxUnits) {
    long changed = accounts.getOrDefault(flow, unitsPerRetry) + units;
    accounts.put(flow, Math.clamp(changed, -maxUnits, maxUnits));
  }

  /** {@return whether the flow has a retry of its own, or no other flow has an account} */
  boolean mayRetry(Optional<TeamName> flow) {
    if (!teamsUsed) {
      return true;
    }
    synchronized (this) {
      return accounts.size() <= 1 || accounts.getOrDefault(flow, unitsPerRetry) >= unitsPerRetry;
    }
  }

  /** {@return the number of accounts} */
  synchronized int flowCount() {
    return accounts.size();
  }
}
