package org.amaranthmoor.model;

/**
 * Exact load of a target side at the moment at which it created the report.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param inFlight number of requests handed to the target and not finished
 * @param queued number of requests waiting for a slot
 * @param slots number of requests that the target may run at once
 * @param serviceTimeNanos time that the target is expected to take for a request, in nanoseconds
 * @param draining whether the target side refuses new work
 * @param startWaitNanos time until a newly arrived request may start under the rate limit that the
 *     target states, in nanoseconds; 0 if it states none
 */
public record LoadReport(
    int inFlight,
    int queued,
    int slots,
    long serviceTimeNanos,
    boolean draining,
    long startWaitNanos) {

  /** {@return the number of requests in flight or queued} */
  public int occupancy() {
    return inFlight + queued;
  }
}
