package org.amaranthmoor.balance;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.model.LoadReport;

/**
 * What one entry side knows about the load and the health of one server.
 *
 * <p>Reports are stale when they arrive, so they only add what other entry sides have in flight to
 * this one's own exact count. Times are monotonic nanoseconds given by the caller. Safe for use by
 * several threads; lock-free.
 */
public final class ServerStats {

  /** Age beyond which a report is not used, in nanoseconds. */
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
  // Smoothed requests that other entry sides have at the server.
  private final AtomicLong othersOccupancyBits = new AtomicLong(Double.doubleToLongBits(0));
  private final AtomicLong finished = new AtomicLong();
  // Time of the last answer, or of the start of the first call in flight if that is later.
  private final AtomicLong lastProgressNanos;
  private final AtomicLong ejectedUntilNanos = new AtomicLong(Long.MIN_VALUE);
  private final AtomicInteger ejections = new AtomicInteger();
  private final RefusalBackoff refusalBackoff = new RefusalBackoff();

  /**
   * Creates statistics of a server nothing is known of.
   *
   * @param nowNanos the current time
   */
  public ServerStats(long nowNanos) {
    this.firstSeenNanos = nowNanos;
    this.lastProgressNanos = new AtomicLong(nowNanos);
  }

  private record StampedReport(LoadReport load, long receivedNanos) {}

  /**
   * Counts a call that starts.
   *
   * @param nowNanos the current time
   */
  public void onStart(long nowNanos) {
    if (inFlight.getAndIncrement() == 0) {
      lastProgressNanos.set(nowNanos);
    }
  }

  /**
   * Counts a call that was answered.
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
   * Counts a call that ended without telling anything about the server's speed.
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
   * Takes in a load report.
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

  /** {@return what is remembered of refusals} */
  public RefusalBackoff refusalBackoff() {
    return refusalBackoff;
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
   * that are as old as a request lasts, so they are smoothed.
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
   * Estimates how long the server takes for a request that has a slot.
   *
   * <p>The server's own report leaves out the wait in its queue, which the occupancy shows already.
   * While calls are in flight and none is answered, the silence counts, so that a frozen server
   * looks slow before its first late answer.
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
      // What was measured long ago says less and less, so that a server that was slow is tried
      // again.
      return knownNanos * Math.exp(-sinceProgressNanos / SERVICE_TIME_DECAY_NANOS);
    }
    return Math.max(knownNanos, sinceProgressNanos);
  }

  /**
   * Returns whether the rate that the target states leaves no start for a request that is sent now.
   *
   * @param nowNanos the current time
   * @return whether the newest report says so
   */
  public boolean isRateLimited(long nowNanos) {
    StampedReport last = report.get();
    return last != null && nowNanos - last.receivedNanos < last.load.startWaitNanos();
  }

  /** {@return the smoothed share of calls that failed, from 0 to 1} */
  public double failureShare() {
    return Double.longBitsToDouble(failureBits.get());
  }

  /** {@return when the server was first seen} */
  public long firstSeenNanos() {
    return firstSeenNanos;
  }

  /**
   * Returns whether the server drains. An old report does not count: the server may have opened
   * again since, and without requests no newer report comes.
   *
   * @param nowNanos the current time
   * @return whether the newest report says so and is young
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
