package org.amaranthmoor.node;

/**
 * Periods and limits of gossip.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param pingPeriodNanos time between two pings of a node
 * @param ackTimeoutNanos time after which other members are asked to ping
 * @param suspicionTimeoutNanos time a suspected member has to refute
 * @param syncPeriodNanos time between two comparisons of whole views
 * @param indirectPingHelpers members asked to ping a silent one
 * @param maxStatesPerMessage most states that ride on a message
 */
public record GossipTimings(
    long pingPeriodNanos,
    long ackTimeoutNanos,
    long suspicionTimeoutNanos,
    long syncPeriodNanos,
    int indirectPingHelpers,
    int maxStatesPerMessage) {

  private static final long MILLI = 1_000_000L;

  /** {@return the timings that nodes use} */
  public static GossipTimings standard() {
    return new GossipTimings(1_000 * MILLI, 300 * MILLI, 3_000 * MILLI, 30_000 * MILLI, 3, 16);
  }
}
