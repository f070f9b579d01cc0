package org.amaranthmoor.testkit.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * A disturbance of one server for a limited time.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param server the server's index
 * @param startNanos when it starts, inclusive
 * @param endNanos when it ends, exclusive
 * @param effect its effect
 * @param slowFactor factor by which requests take longer, for {@link Effect#SLOW}
 */
record Disturbance(int server, long startNanos, long endNanos, Effect effect, double slowFactor) {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

  /** The effect on the server. */
  enum Effect {
    /** Requests take longer. */
    SLOW,
    /** Requests make no progress. */
    FROZEN,
    /** Requests fail at once. */
    FAILS_FAST,
    /** The node cannot be reached. */
    UNREACHABLE,
    /** The target side drains. */
    DRAINING
  }

  boolean covers(long nanos) {
    return nanos >= startNanos && nanos < endNanos;
  }

  /**
   * Slows a random server for a span, again and again; the gaps between the spans are one second on
   * average.
   */
  static List<Disturbance> slow(int servers, double factor, long spanNanos, long endNanos) {
    SplittableRandom random = new SplittableRandom(7);
    List<Disturbance> list = new ArrayList<>();
    long at = NANOS_PER_SECOND;
    while (at < endNanos) {
      int server = random.nextInt(servers);
      list.add(new Disturbance(server, at, at + spanNanos, Effect.SLOW, factor));
      at += spanNanos + random.nextLong(2 * NANOS_PER_SECOND);
    }
    return list;
  }

  static List<Disturbance> once(int server, Effect effect, long startNanos, long spanNanos) {
    return List.of(new Disturbance(server, startNanos, startNanos + spanNanos, effect, 1));
  }
}
