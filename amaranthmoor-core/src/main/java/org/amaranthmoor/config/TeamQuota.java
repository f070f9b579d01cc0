package org.amaranthmoor.config;

/**
 * Limit of a team's requests, summed over all nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param requestsPerSecond the rate, in requests per second; 0 for no limit
 * @param burst number of requests that may be sent at once in excess of the rate
 */
public record TeamQuota(double requestsPerSecond, double burst) {

  /** The quota of a team without a limit. */
  public static final TeamQuota UNLIMITED = new TeamQuota(0, 0);

  /**
   * Checks the numbers.
   *
   * @throws IllegalArgumentException if a number is negative or not finite
   */
  public TeamQuota {
    if (!(requestsPerSecond >= 0 && burst >= 0)
        || Double.isInfinite(requestsPerSecond)
        || Double.isInfinite(burst)) {
      throw new IllegalArgumentException(
          "rate and burst must be finite and at least 0, but were: "
              + requestsPerSecond
              + ", "
              + burst);
    }
  }

  /** {@return whether the team's requests are limited} */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }
}
