package org.amaranthmoor.balance;

/**
 * A way to choose among the servers of a service.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface PickPolicy {

  /** Any server, with equal chance. */
  record Random() implements PickPolicy {}

  /** Each server in turn. */
  record RoundRobin() implements PickPolicy {}

  /** The server with the fewest calls in flight from this entry side. */
  record LeastInFlight() implements PickPolicy {}

  /** The server of two drawn ones whose newest report shows less load. */
  record PowerOfTwoChoices() implements PickPolicy {}

  /**
   * Least turns to wait, times how much slower the server is than the others.
   *
   * @param sampleSize servers looked at for a call, at least 2
   * @param zonePenaltyNanos added to the latency of a server in another availability zone
   */
  record LeastExpectedLatency(int sampleSize, long zonePenaltyNanos) implements PickPolicy {}

  /**
   * As {@link LeastExpectedLatency}, but servers of other availability zones are asked only after
   * those of the own zone.
   *
   * @param sampleSize servers looked at for a call, at least 2
   */
  record ZoneFirst(int sampleSize) implements PickPolicy {}
}
