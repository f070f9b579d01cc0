package org.amaranthmoor.balance;

import java.util.List;

/**
 * Ejects failing servers for a limited time.
 *
 * <p>A server that fails fast looks idle, so failures are counted apart from load. Invariant: at
 * most a third of a service's servers, or one of two, are ejected at once. Each further ejection
 * lasts twice as long. After an ejection the server is on probation: it gets one call at a time
 * until a call succeeds. Stateless and safe for use by several threads.
 */
public final class Ejection {

  /** Share of failed calls above which a server is ejected. */
  static final double MAX_FAILURE_SHARE = 0.5;

  /** Largest share of a service's servers that may be ejected at once. */
  static final double MAX_EJECTED_SHARE = 0.34;

  private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  private Ejection() {}

  /**
   * Records the result of a call: ejects the server if too many of its calls fail, and ends its
   * probation if the call succeeded.
   *
   * @param servers the servers of the service
   * @param server the server that answered or failed
   * @param failed whether the call failed
   * @param nowNanos the current time
   */
  public static void afterCall(List<Server> servers, Server server, boolean failed, long nowNanos) {
    ServerStats stats = server.stats();
    if (!failed) {
      if (stats.onProbation(nowNanos)) {
        stats.endProbation();
      }
      return;
    }
    boolean failing = stats.failureShare() > MAX_FAILURE_SHARE || stats.onProbation(nowNanos);
    if (failing && !stats.ejected(nowNanos) && mayEject(servers, nowNanos)) {
      int doublings = Math.min(MAX_DOUBLINGS, stats.ejections());
      stats.eject(nowNanos + (FIRST_EJECTION_NANOS << doublings));
    }
  }

  /** {@return whether calls should go to other servers as long as there are any} */
  static boolean shouldAvoid(ServerStats stats, long nowNanos) {
    return stats.ejected(nowNanos) || (stats.onProbation(nowNanos) && stats.ownInFlight() > 0);
  }

  private static boolean mayEject(List<Server> servers, long nowNanos) {
    long ejected = servers.stream().filter(server -> server.stats().ejected(nowNanos)).count();
    long maxEjected = Math.max(1, (long) (servers.size() * MAX_EJECTED_SHARE));
    return servers.size() > 1 && ejected < maxEjected;
  }
}
