package org.amaranthmoor.quota;

import org.amaranthmoor.config.TeamQuota;

/**
 * How far the requests of a team may exceed its quota: in no window more than (rate x window +
 * burst) x (1 + overage) + slack of them may reach targets, over all nodes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param windowSeconds length of the window, in seconds
 * @param overage tolerated excess as a share of the quota
 * @param slack tolerated excess in requests
 */
public record QuotaBound(double windowSeconds, double overage, double slack) {

  /** The bound of nodes whose settings state none. */
  public static final QuotaBound NONE = new QuotaBound(5, 0, 0);

  /**
   * Part of the tolerated excess that a new owner starts with, as the previous one may just have
   * granted the burst.
   */
  static final double NEW_OWNER_PART = 0.15;

  /** Part that the deputy of an owner that does not answer grants in a window. */
  static final double DEPUTY_PART = 0.1;

  /**
   * Part that all parts of a mesh together add to their shares of the quota in a window. Some of it
   * adds to the burst, because the requests of a small team come together by chance: with 0
   * instead, 361 of 9,470 requests of 87 teams at their usual rate were refused. What remains of
   * the excess covers the time between the grant of a token and the hand-over of its request.
   */
  static final double ADDED_PART = 0.6;

  /**
   * Returns the tolerated excess of a team in a window.
   *
   * @param quota the quota
   * @return the number of requests
   */
  double excess(TeamQuota quota) {
    return overage * (quota.requestsPerSecond() * windowSeconds + quota.burst()) + slack;
  }
}
