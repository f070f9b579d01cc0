package org.amaranthmoor.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.ref.WeakReference;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Guards against metrics that stop counting once the heap has been collected. */
class NodeMetricsTests {

  private final NodeMetrics metrics = new NodeMetrics();

  @Test
  void aRegisteredCounterIsReadAfterACollectionOfTheHeap() {
    AtomicLong value = new AtomicLong();
    metrics.registerCounter("amaranthmoor.test", "A test", value::get);
    awaitCollection();

    value.set(7);

    assertTrue(metrics.render().contains("amaranthmoor_test_total 7"), metrics.render());
  }

  private static void awaitCollection() {
    WeakReference<Object> collected = new WeakReference<>(new Object());
    while (collected.get() != null) {
      System.gc();
    }
  }
}
