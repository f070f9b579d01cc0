package org.amaranthmoor.target;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the requests that were handed over to a target within the last second, and those that have
 * started and are about to be handed over.
 *
 * <p>A start is admitted by {@link #count}, and the hand-over may follow at any later time: a
 * started request counts until its hand-over is more than a second ago. So if a request starts only
 * while the count is below a limit, no second has more hand-overs than the limit, however long
 * connecting to the target takes. An earlier process may have handed over requests just before this
 * one began, so the first second counts as full.
 *
 * <p>Not thread-safe; guarded by the lock of {@link Admission}.
 */
final class HandOverWindow {

  private static final long SECOND_NANOS = 1_000_000_000L;

  /** Largest number of remembered hand-overs; bounds the memory of targets without a limit. */
  private static final int MAX_REMEMBERED = 4_096;

  private final long firstKnownNanos;
  private final Deque<Long> handOvers = new ArrayDeque<>();
  private int started;

  HandOverWindow(long beginNanos) {
    this.firstKnownNanos = beginNanos + SECOND_NANOS;
  }

  void onStart() {
    started++;
  }

  void onHandOver(long nowNanos) {
    started--;
    handOvers.addLast(nowNanos);
    expire(nowNanos);
  }

  void onNotHandedOver() {
    started--;
  }

  /** {@return the number of requests that this process has started, as far as they still count} */
  int count(long nowNanos) {
    expire(nowNanos);
    return started + handOvers.size();
  }

  private void expire(long nowNanos) {
    while (!handOvers.isEmpty()
        && (nowNanos - handOvers.getFirst() > SECOND_NANOS || handOvers.size() > MAX_REMEMBERED)) {
      handOvers.removeFirst();
    }
  }

  /**
   * Returns the time until a further request may start.
   *
   * @param limit largest count
   * @param ahead number of requests that start before it
   * @param nowNanos the current time
   * @return the time in nanoseconds, 0 if it may start now; a lower bound if started requests are
   *     not handed over yet
   */
  long waitNanos(int limit, int ahead, long nowNanos) {
    long unknown = Math.max(0, firstKnownNanos - nowNanos);
    long excess = (long) count(nowNanos) + ahead + 1 - limit;
    if (excess <= 0) {
      return unknown;
    }
    if (excess > handOvers.size()) {
      return Math.max(unknown, SECOND_NANOS);
    }
    long expiring = handOvers.stream().skip(excess - 1).findFirst().orElseThrow();
    return Math.max(unknown, expiring + SECOND_NANOS + 1 - nowNanos);
  }
}
