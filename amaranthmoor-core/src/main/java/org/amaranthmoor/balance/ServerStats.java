package org.amaranthmoor.balance;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.model.LoadReport;

/**
 * Statistics that one entry side keeps on the load and the health of one server.
 *
 * <p>Load reports are outdated when they arrive, so the requests of this entry side are counted
 * exactly, and only those of other entry sides are estimated from reports. Times are monotonic
 * nanoseconds given by the calling code. Safe for use by several threads; lock-free.
 */
public final class ServerStats {

  /** Age above which a load report is not used, in nanoseconds. */
  static final long MAX_REPORT_AGE_NANOS = 1_000_000_000L;

  private static final double LATENCY_EWMA_WEIGHT = 0.2;
  private static final double FAILURE_EWMA_WEIGHT = 0.15;
  private static final double OTHERS_EWMA_WEIGHT = 0.3;
  private static final double OWN_IN_FLIGHT_WEIGHT = 3;
  private static final double SERVICE_TIME_DECAY_NANOS = 200_000_000;

  private final long firstSeenNanos;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicReference<StampedReport> report = new AtomicReference<>();
  private final AtomicLong latencyBits = new AtomicLong(Double.doubleToLongBits(0));
  private final AtomicLong failureBits = new AtomicLong(Double.doubleToLongBits(0));
  // Moving average of the requests that other entry sides have at the server.
  private final AtomicLong othersOccupancyBits = new AtomicLong(Double.doubleToLongBits(0));
  private final AtomicLong finished = new AtomicLong();
  // Time of the last answer, or of the start of the first call in flight if that is later.
  private final AtomicLong lastProgressNanos;
  private final AtomicLong ejectedUntilNanos = new AtomicLong(Long.MIN_VALUE);
  private final AtomicInteger ejections = new AtomicInteger();
  private final RefusalBackoff refusalBackoff = new RefusalBackoff();
  private final RuleFailures ruleFailures = new RuleFailures();

  /**
   * Creates the statistics of a server of which nothing is known.
   *
   * @param nowNanos the current time
   */
  public ServerStats(long nowNanos) {
    this.firstSeenNanos = nowNanos;
    this.lastProgressNanos = new AtomicLong(nowNanos);
  }

  private record StampedReport(LoadReport load, long receivedNanos) {}

  /**
   * Records the start of a call.
   *
   * @param nowNanos the current time
   */
  public void onStart(long nowNanos) {
    if (inFlight.getAndIncrement() == 0) {
      lastProgressNanos.set(nowNanos);
    }
  }

  /**
   * Records the answer to a call.
   *
   * @param latencyNanos time from start to answer
   * @param failed whether the answer shows that the server fails
   * @param nowNanos the current time
   */
  public void onFinish(long latencyNanos, boolean failed, long nowNanos) {
    inFlight.decrementAndGet();
    lastProgressNanos.set(nowNanos);
    finished.incrementAndGet();
    updateAverage(failureBits, failed ? 1 : 0, FAILURE_EWMA_WEIGHT, false);
    if (!failed) {
      updateAverage(latencyBits, (double) latencyNanos, LATENCY_EWMA_WEIGHT, true);
    }
  }

  /**
   * Records the end of a call that says nothing about the speed of the server.
   *
   * @param failed whether the end shows that the server fails
   * @param nowNanos the current time
   */
  public void onAbandon(boolean failed, long nowNanos) {
    inFlight.decrementAndGet();
    if (failed) {
      finished.incrementAndGet();
      lastProgressNanos.set(nowNanos);
      updateAverage(failureBits, 1, FAILURE_EWMA_WEIGHT, false);
    }
  }

  /**
   * Records a load report.
   *
   * @param load the report
   * @param nowNanos the time it arrived
   */
  public void onReport(LoadReport load, long nowNanos) {
    int own = inFlight.get();
    updateAverage(
        othersOccupancyBits, Math.max(0, load.occupancy() - own), OTHERS_EWMA_WEIGHT, false);
    report.set(new StampedReport(load, nowNanos));
  }

  /** {@return the backoff after refusals by the server} */
  public RefusalBackoff refusalBackoff() {
    return refusalBackoff;
  }

  /** {@return the failures of the requests of each rule} */
  RuleFailures ruleFailures() {
    return ruleFailures;
  }

  /** {@return the calls that this entry side has in flight at the server} */
  public int ownInFlight() {
    return inFlight.get();
  }

  /** {@return how many calls have finished} */
  public long finished() {
    return finished.get();
  }

  /**
   * Estimates the requests in flight and queued at the server.
   *
   * <p>The calls of this entry side are counted exactly. Those of others are known from reports
   * that are as old as a request lasts, so they are averaged.
   *
   * @param nowNanos the current time
   * @return the estimate, at least the calls this entry side has in flight there
   */
  public double occupancy(long nowNanos) {
    int own = inFlight.get();
    boolean stale = reportAgeNanos(nowNanos) > MAX_REPORT_AGE_NANOS;
    return stale
        ? own
        : OWN_IN_FLIGHT_WEIGHT * own + Double.longBitsToDouble(othersOccupancyBits.get());
  }

  /**
   * Returns the age of the newest report.
   *
   * @param nowNanos the current time
   * @return the age in nanoseconds, or {@link Long#MAX_VALUE} if there is none
   */
  public long reportAgeNanos(long nowNanos) {
    StampedReport last = report.get();
    return last == null ? Long.MAX_VALUE : nowNanos - last.receivedNanos;
  }

  /** {@return the occupancy of the newest report, however old, or 0 if there is none} */
  public int reportedOccupancy() {
    StampedReport last = report.get();
    return last == null ? 0 : last.load.occupancy();
  }

  /**
   * Returns the slots of the server.
   *
   * @param fallback returned if no report has arrived
   * @return the slots, at least 1
   */
  public int slots(int fallback) {
    StampedReport last = report.get();
    return Math.max(1, last == null ? fallback : last.load.slots());
  }

  /**
   * Estimates the service time of a request that has a slot.
   *
   * <p>The service time in the server's report excludes the wait in its queue, which the occupancy
   * covers. While calls are in flight, the time without any answer counts too, so that a frozen
   * server looks slow before its first late answer.
   *
   * @param nowNanos the current time
   * @return the estimate in nanoseconds, 0 if nothing is known
   */
  public double serviceTimeNanos(long nowNanos) {
    StampedReport last = report.get();
    double knownNanos =
        last == null ? Double.longBitsToDouble(latencyBits.get()) : last.load.serviceTimeNanos();
    double sinceProgressNanos = nowNanos - lastProgressNanos.get();
    if (inFlight.get() == 0) {
      // The estimate of an unused server decays, so that a server that was slow is tried again.
      return knownNanos * Math.exp(-sinceProgressNanos / SERVICE_TIME_DECAY_NANOS);
    }
    return Math.max(knownNanos, sinceProgressNanos);
  }

  /**
   * Returns whether the rate that the target states does not allow a request that is sent now to
   * start.
   *
   * @param nowNanos the current time
   * @return whether the newest report says so
   */
  public boolean isRateLimited(long nowNanos) {
    StampedReport last = report.get();
    return last != null && nowNanos - last.receivedNanos < last.load.startWaitNanos();
  }

  /** {@return the moving average of the share of calls that failed, from 0 to 1} */
  public double failureShare() {
    return Double.longBitsToDouble(failureBits.get());
  }

  /** {@return when the server was first seen} */
  public long firstSeenNanos() {
    return firstSeenNanos;
  }

  /**
   * Returns whether the server drains. An old report is ignored: the server may accept requests
   * again, and without requests it sends no newer report.
   *
   * @param nowNanos the current time
   * @return whether the newest report says so and is not too old
   */
  public boolean draining(long nowNanos) {
    StampedReport last = report.get();
    return last != null
        && last.load.draining()
        && nowNanos - last.receivedNanos <= MAX_REPORT_AGE_NANOS;
  }

  /**
   * Returns whether the server is ejected.
   *
   * @param nowNanos the current time
   * @return whether no calls should go there
   */
  public boolean ejected(long nowNanos) {
    return nowNanos < ejectedUntilNanos.get();
  }

  /**
   * Returns whether the server's last ejection is over but no call has succeeded since.
   *
   * @param nowNanos the current time
   * @return whether the server is on probation
   */
  public boolean onProbation(long nowNanos) {
    return ejections.get() > 0 && !ejected(nowNanos);
  }

  int ejections() {
    return ejections.get();
  }

  void eject(long untilNanos) {
    ejections.incrementAndGet();
    ejectedUntilNanos.set(untilNanos);
  }

  void endProbation() {
    ejections.set(0);
    failureBits.set(Double.doubleToLongBits(0));
  }

  private static void updateAverage(
      AtomicLong bits, double sample, double weight, boolean startWithFirst) {
    bits.updateAndGet(
        old -> {
          double value = Double.longBitsToDouble(old);
          double next = startWithFirst && value == 0 ? sample : value + weight * (sample - value);
          return Double.doubleToLongBits(next);
        });
  }
}
