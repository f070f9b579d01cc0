package org.amaranthmoor.node;

/**
 * Periods and limits of gossip.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param pingPeriodNanos time between two pings of a node
 * @param ackTimeoutNanos time without an ack after which other members are asked for indirect pings
 * @param suspicionTimeoutNanos time that a suspected member has to refute before it counts as dead
 * @param syncPeriodNanos time between two exchanges of the complete view with another member
 * @param indirectPingHelpers number of members asked to ping an unresponsive member
 * @param maxStatesPerMessage largest number of states piggybacked on a message
 */
public record GossipTimings(
    long pingPeriodNanos,
    long ackTimeoutNanos,
    long suspicionTimeoutNanos,
    long syncPeriodNanos,
    int indirectPingHelpers,
    int maxStatesPerMessage) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** {@return the timings that nodes use} */
  public static GossipTimings standard() {
    return new GossipTimings(
        1_000 * NANOS_PER_MILLI,
        300 * NANOS_PER_MILLI,
        3_000 * NANOS_PER_MILLI,
        30_000 * NANOS_PER_MILLI,
        3,
        16);
  }
}
