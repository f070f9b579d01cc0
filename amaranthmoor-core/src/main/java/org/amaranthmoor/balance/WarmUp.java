package org.amaranthmoor.balance;

/**
 * Gives a server that is new to an entry side fewer calls at first.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class WarmUp {

  /** Time after which a new server counts as warm, in nanoseconds. */
  static final long WARM_UP_NANOS = 2_000_000_000L;

  /** Answers after which a new server counts as warm. */
  static final long WARM_UP_ANSWERS = 20;

  private WarmUp() {}

  /** {@return the slots of a server that calls may count on, at least 1} */
  static int slots(Server server, long nowNanos) {
    int slots = server.stats().slots(server.slots());
    long age = nowNanos - server.stats().firstSeenNanos();
    if (age >= WARM_UP_NANOS || server.stats().finished() >= WARM_UP_ANSWERS) {
      return slots;
    }
    return (int) Math.max(1, slots * age / WARM_UP_NANOS);
  }
}
