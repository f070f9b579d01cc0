package org.amaranthmoor.caller;

import java.util.random.RandomGenerator;
import org.amaranthmoor.model.ResultCode;

/**
 * Computes after which delay the caller of a refused request should retry.
 *
 * <p>Covers two load patterns. In a burst, a caller that retries after its objective has passed
 * gains little from an answer and takes time from others: it is told to retry while it can still be
 * in time, with delays spread over that time, so that callers refused together do not retry
 * together. After a mass restart, no target is known for a second or more: then the longest delay
 * that a caller accepts is best. The same holds where the node itself is too busy, which lasts as
 * long. No caller is told to retry before the target that refused it may start a request.
 * Stateless; safe for use by several threads.
 */
public final class RetryAfter {

  /** Latest retry that can still be in time, as a share of the time until the objective. */
  private static final double LATEST_IN_TIME_SHARE = 0.4;

  /** Earliest retry, as a share of the delay of the latest one. */
  private static final double EARLIEST_SHARE = 0.25;

  /** Earliest retry where a long delay is best, as a share of the delay of the latest one. */
  private static final double EARLIEST_SHARE_IF_LATE = 0.75;

  /** Shortest delay that lets the load change, in milliseconds: some answers of a target. */
  private static final double MIN_DELAY_MILLIS = 20;

  private static final double NANOS_PER_MILLI = 1_000_000;

  private RetryAfter() {}

  /**
   * Returns the delay after which a refused caller should retry.
   *
   * @param code why it was refused
   * @param objectiveLeftNanos time until its objective, in nanoseconds; negative if that has passed
   * @param deadlineLeftNanos time until its deadline, in nanoseconds
   * @param acceptedShare share of the time until its deadline that the caller accepts as a delay
   * @param startWaitNanos time until the target that refused it may start a request, in
   *     nanoseconds; 0 if it states no rate
   * @param random source of randomness
   * @return the delay in milliseconds, at least 1
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

  // Whether no server can serve the request now, which takes a while to change.
  private static boolean isUnavailable(ResultCode code) {
    return switch (code) {
      case NO_TARGET, NOT_READY, NODE_UNREACHABLE, TARGET_UNREACHABLE, TARGET_ABSENT, NODE_BUSY ->
          true;
      default -> false;
    };
  }
}
