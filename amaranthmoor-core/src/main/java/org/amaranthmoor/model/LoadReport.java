package org.amaranthmoor.model;

/**
 * Exact load of a target side at the moment it wrote the report.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param inFlight requests handed to the target and not finished
 * @param queued requests waiting for a slot
 * @param slots requests the target may run at once
 * @param serviceTimeNanos time the target is expected to take for a request, in nanoseconds
 * @param draining whether the target side refuses new work
 * @param startWaitNanos time until a request that arrives may start, by the rate that the target
 *     states, in nanoseconds; 0 if it states none
 */
public record LoadReport(
    int inFlight,
    int queued,
    int slots,
    long serviceTimeNanos,
    boolean draining,
    long startWaitNanos) {

  /** {@return the requests in flight and queued together} */
  public int occupancy() {
    return inFlight + queued;
  }
}
