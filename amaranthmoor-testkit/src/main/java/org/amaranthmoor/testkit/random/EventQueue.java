package org.amaranthmoor.testkit.random;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.amaranthmoor.model.TimeSource;

/**
 * Runs events in the order of their times under a simulated clock; events at the same time run in
 * the order in which they were added.
 *
 * <p>Confined to one thread.
 */
final class EventQueue implements TimeSource {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private record Event(long atMillis, long order, Runnable action) {}

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(
          Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
  private long nowMillis;
  private long nextOrder;

  EventQueue(long startMillis) {
    this.nowMillis = startMillis;
  }

  void after(long delayMillis, Runnable action) {
    events.add(new Event(nowMillis + delayMillis, nextOrder++, action));
  }

  /** Runs the next event and returns true, or returns false if there is none up to the end. */
  boolean runNext(long endMillis) {
    Event next = events.peek();
    if (next == null || next.atMillis() > endMillis) {
      return false;
    }
    events.remove();
    nowMillis = next.atMillis();
    next.action().run();
    return true;
  }

  @Override
  public long nanos() {
    return nowMillis * NANOS_PER_MILLI;
  }

  @Override
  public long wallMillis() {
    return nowMillis;
  }
}
