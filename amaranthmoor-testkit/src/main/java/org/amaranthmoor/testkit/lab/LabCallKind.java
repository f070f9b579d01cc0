package org.amaranthmoor.testkit.lab;

import java.util.List;
import org.amaranthmoor.model.Priority;

/**
 * A kind of call in the simulation.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name in reports
 * @param priority its priority
 * @param idempotent whether it may run more than once
 * @param serviceNanos mean service time at an undisturbed server
 * @param deadlineNanos how long its caller waits
 * @param weight relative frequency
 */
record LabCallKind(
    String name,
    Priority priority,
    boolean idempotent,
    long serviceNanos,
    long deadlineNanos,
    int weight) {

  private static final long NANOS_PER_MILLI = 1_000_000L;

  static List<LabCallKind> standardKinds() {
    return List.of(
        new LabCallKind(
            "browse", Priority.BROWSE, true, 8 * NANOS_PER_MILLI, 1_500 * NANOS_PER_MILLI, 14),
        new LabCallKind(
            "order", Priority.CRITICAL, false, 15 * NANOS_PER_MILLI, 3_000 * NANOS_PER_MILLI, 4),
        new LabCallKind(
            "upload", Priority.CRITICAL, true, 60 * NANOS_PER_MILLI, 30_000 * NANOS_PER_MILLI, 1));
  }

  static List<LabCallKind> longUploads() {
    return List.of(
        new LabCallKind(
            "browse", Priority.BROWSE, true, 8 * NANOS_PER_MILLI, 1_500 * NANOS_PER_MILLI, 10),
        new LabCallKind(
            "order", Priority.CRITICAL, false, 15 * NANOS_PER_MILLI, 3_000 * NANOS_PER_MILLI, 4),
        new LabCallKind(
            "upload", Priority.CRITICAL, true, 300 * NANOS_PER_MILLI, 60_000 * NANOS_PER_MILLI, 2));
  }

  static double meanServiceNanos(List<LabCallKind> kinds) {
    double sum = 0;
    int weights = 0;
    for (LabCallKind kind : kinds) {
      sum += (double) kind.serviceNanos() * kind.weight();
      weights += kind.weight();
    }
    return sum / weights;
  }
}
