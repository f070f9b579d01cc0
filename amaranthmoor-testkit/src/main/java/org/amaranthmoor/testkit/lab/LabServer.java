package org.amaranthmoor.testkit.lab;

import java.util.List;
import java.util.SplittableRandom;
import org.amaranthmoor.target.Admission;

/**
 * A simulated target with its target side. The disturbances determine its speed.
 *
 * <p>Confined to one thread.
 */
final class LabServer {

  private static final int QUEUE_CAPACITY = 64;
  private static final double FROZEN_SPEED = 0;

  final int index;
  final Admission admission;
  private final List<Disturbance> disturbances;
  private boolean drained;

  LabServer(int index, int slots, List<Disturbance> all, SplittableRandom random) {
    this.index = index;
    this.admission = new Admission(slots, QUEUE_CAPACITY, random, 0);
    this.disturbances = all.stream().filter(d -> d.server() == index).toList();
  }

  boolean isAffectedBy(Disturbance.Effect effect, long nanos) {
    return disturbances.stream().anyMatch(d -> d.effect() == effect && d.covers(nanos));
  }

  /** Starts to drain once a disturbance says so. */
  void drainIfDue(long nanos) {
    if (!drained && isAffectedBy(Disturbance.Effect.DRAINING, nanos)) {
      drained = true;
      admission.drain(nanos);
    }
  }

  /**
   * {@return when work that starts at a given time is done, with all changes of speed until then}
   */
  long finishNanos(long startNanos, long workNanos) {
    long now = startNanos;
    double left = workNanos;
    while (true) {
      double speed = speed(now);
      long change = nextChange(now);
      double possible = speed * (change - now);
      if (change == Long.MAX_VALUE || possible >= left) {
        return now + (long) Math.ceil(left / speed);
      }
      left -= possible;
      now = change;
    }
  }

  double speed(long nanos) {
    double factor = 1;
    for (Disturbance d : disturbances) {
      if (d.covers(nanos) && d.effect() == Disturbance.Effect.FROZEN) {
        return FROZEN_SPEED;
      }
      if (d.covers(nanos) && d.effect() == Disturbance.Effect.SLOW) {
        factor = Math.max(factor, d.slowFactor());
      }
    }
    return 1 / factor;
  }

  private long nextChange(long nanos) {
    long next = Long.MAX_VALUE;
    for (Disturbance d : disturbances) {
      if (d.startNanos() > nanos) {
        next = Math.min(next, d.startNanos());
      }
      if (d.endNanos() > nanos) {
        next = Math.min(next, d.endNanos());
      }
    }
    return next;
  }
}
