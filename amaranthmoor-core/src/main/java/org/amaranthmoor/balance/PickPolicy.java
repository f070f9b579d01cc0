package org.amaranthmoor.balance;

/**
 * A load balancing policy: how a server of a service is picked for a call.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface PickPolicy {

  /** Any server, with equal probability. */
  record Random() implements PickPolicy {}

  /** Each server in turn. */
  record RoundRobin() implements PickPolicy {}

  /** The server with the fewest calls in flight from this entry side. */
  record LeastInFlight() implements PickPolicy {}

  /** Of two randomly drawn servers, the one whose newest report shows less load. */
  record PowerOfTwoChoices() implements PickPolicy {}

  /**
   * Of a random sample of servers, the one with the lowest expected latency: its requests per slot
   * with this one, times the median service time of the sample, times how much slower the server is
   * than that.
   *
   * @param sampleSize servers compared for a call, at least 2
   * @param zonePenaltyNanos added to the expected latency of a server in another availability zone,
   *     in nanoseconds
   */
  record LeastExpectedLatency(int sampleSize, long zonePenaltyNanos) implements PickPolicy {}

  /**
   * As {@link LeastExpectedLatency}, but servers of other availability zones are tried only after
   * those of the own zone.
   *
   * @param sampleSize servers compared for a call, at least 2
   */
  record ZoneFirst(int sampleSize) implements PickPolicy {}
}
