package org.amaranthmoor.testkit.mesh;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs events in the order of their times; events at the same time run in the order in which they
 * were added. Confined to one thread.
 */
final class MeshClock {

  static final long NANOS_PER_MILLI = 1_000_000L;
  static final long NANOS_PER_SECOND = 1_000_000_000L;

  private record Event(long atNanos, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private long nowNanos = NANOS_PER_SECOND;
  private long nextOrder;

  long now() {
    return nowNanos;
  }

  void at(long nanos, Runnable action) {
    events.add(new Event(Math.max(nanos, nowNanos), nextOrder++, action));
  }

  void after(long nanos, Runnable action) {
    at(nowNanos + nanos, action);
  }

  void runUntil(long endNanos) {
    while (!events.isEmpty() && events.peek().atNanos() <= endNanos) {
      Event event = events.remove();
      nowNanos = event.atNanos();
      event.action().run();
    }
  }
}
