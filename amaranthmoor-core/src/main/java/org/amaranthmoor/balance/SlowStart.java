package org.amaranthmoor.balance;

/**
 * Gradually raises the load of a server that is new to an entry side.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class SlowStart {

  /** Time after which the slow start ends, in nanoseconds. */
  static final long SLOW_START_NANOS = 2_000_000_000L;

  /** Answers after which the slow start ends. */
  static final long SLOW_START_ANSWERS = 20;

  private SlowStart() {}

  /** {@return the slots of a server that may be used now, at least 1} */
  static int usableSlots(Server server, long nowNanos) {
    int slots = server.stats().slots(server.slots());
    long age = nowNanos - server.stats().firstSeenNanos();
    if (age >= SLOW_START_NANOS || server.stats().finished() >= SLOW_START_ANSWERS) {
      return slots;
    }
    return (int) Math.max(1, slots * age / SLOW_START_NANOS);
  }
}
