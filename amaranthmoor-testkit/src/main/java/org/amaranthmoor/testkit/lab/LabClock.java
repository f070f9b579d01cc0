package org.amaranthmoor.testkit.lab;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs events in the order of their times, in nanoseconds; events at the same time run in the order
 * in which they were added.
 *
 * <p>Confined to one thread.
 */
final class LabClock {

  private record Event(long atNanos, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::order));
  private long nowNanos;
  private long nextOrder;

  long nanos() {
    return nowNanos;
  }

  void at(long nanos, Runnable action) {
    events.add(new Event(Math.max(nanos, nowNanos), nextOrder++, action));
  }

  void after(long nanos, Runnable action) {
    at(nowNanos + nanos, action);
  }

  void runAll() {
    Event next = events.poll();
    while (next != null) {
      nowNanos = next.atNanos();
      next.action().run();
      next = events.poll();
    }
  }
}
