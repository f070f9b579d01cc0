package org.amaranthmoor.caller;

import java.util.random.RandomGenerator;
import org.amaranthmoor.model.ResultCode;

/**
 * Tells callers whose request was refused when to come back.
 *
 * <p>Answers two load patterns. In a burst, one who comes back after its objective has passed is
 * served for little, and takes time from others: it is told to come back while it can still be in
 * time, spread over that time so that those refused together do not return together. After a mass
 * restart, no target is known for a second or more: then the longest wait that a caller accepts is
 * best, and also where the node itself is too busy, which lasts as long. Nobody is told to come
 * back before the target that refused it may start a request. Stateless; safe for use by several
 * threads.
 */
public final class RetryAfter {

  /** Part of the time until the objective after which work can still be done in time. */
  private static final double LATEST_IN_TIME_SHARE = 0.4;

  /** Earliest return as a part of the latest one. */
  private static final double EARLIEST_SHARE = 0.25;

  /** Earliest return as a part of the latest one, where waiting long is best. */
  private static final double EARLIEST_SHARE_IF_LATE = 0.75;

  /** Least wait that lets anything change, in milliseconds: some answers of a target. */
  private static final double MIN_DELAY_MILLIS = 20;

  private static final double NANOS_PER_MILLI = 1_000_000;

  private RetryAfter() {}

  /**
   * Returns after which time a refused caller should come back.
   *
   * @param code why it was refused
   * @param objectiveLeftNanos time until its objective, in nanoseconds; negative if that has passed
   * @param deadlineLeftNanos time until its deadline, in nanoseconds
   * @param acceptedShare part of the time until its deadline that the caller accepts to wait
   * @param startWaitNanos time until the target that refused it may start a request, in
   *     nanoseconds; 0 if it states no rate
   * @param random source of randomness
   * @return the time in milliseconds, at least 1
   */
  public static long delayMillis(
      ResultCode code,
      long objectiveLeftNanos,
      long deadlineLeftNanos,
      double acceptedShare,
      long startWaitNanos,
      RandomGenerator random) {
    double acceptedMillis = deadlineLeftNanos / NANOS_PER_MILLI * acceptedShare;
    double inTimeMillis = objectiveLeftNanos / NANOS_PER_MILLI * LATEST_IN_TIME_SHARE;
    boolean late = isUnavailable(code) || inTimeMillis < MIN_DELAY_MILLIS;
    double startMillis = Math.min(startWaitNanos / NANOS_PER_MILLI, acceptedMillis);
    double latestMillis =
        Math.max(startMillis, late ? acceptedMillis : Math.min(inTimeMillis, acceptedMillis));
    double earliestMillis =
        Math.max(startMillis, latestMillis * (late ? EARLIEST_SHARE_IF_LATE : EARLIEST_SHARE));
    return Math.max(
        1, (long) (earliestMillis + random.nextDouble() * (latestMillis - earliestMillis)));
  }

  // Whether nobody can serve the request now, which takes a while to change.
  private static boolean isUnavailable(ResultCode code) {
    return switch (code) {
      case NO_TARGET, NOT_READY, NODE_UNREACHABLE, TARGET_UNREACHABLE, TARGET_ABSENT, NODE_BUSY ->
          true;
      default -> false;
    };
  }
}
