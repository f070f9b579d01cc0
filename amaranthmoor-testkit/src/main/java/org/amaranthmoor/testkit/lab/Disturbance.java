package org.amaranthmoor.testkit.lab;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Something that happens to one server for a while.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param server the server's index
 * @param fromNanos when it starts
 * @param toNanos when it ends
 * @param effect what happens
 * @param slowFactor how many times longer requests take, for {@link Effect#SLOW}
 */
record Disturbance(int server, long fromNanos, long toNanos, Effect effect, double slowFactor) {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

  /** What happens. */
  enum Effect {
    /** Requests take longer. */
    SLOW,
    /** Requests stand still. */
    FROZEN,
    /** Requests fail at once. */
    FAILS_FAST,
    /** The node cannot be reached. */
    UNREACHABLE,
    /** The target side drains. */
    DRAINING
  }

  boolean covers(long nanos) {
    return nanos >= fromNanos && nanos < toNanos;
  }

  /** One server slowed again and again for a span, once each second on average. */
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

  static List<Disturbance> once(int server, Effect effect, long fromNanos, long spanNanos) {
    return List.of(new Disturbance(server, fromNanos, fromNanos + spanNanos, effect, 1));
  }
}
