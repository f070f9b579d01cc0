package org.amaranthmoor.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.model.RuleName;

/**
 * Estimates how long ago a caller first made a request that it now makes again.
 *
 * <p>Answers the load pattern of a burst in which refused callers come back: their answer counts
 * from their first attempt, so they have less time left than those that come for the first time.
 * Callers of a rule wait alike long, and one that comes back states only the rest of its wait. The
 * usual wait of a rule is learnt from what callers state; a shorter one is taken for the rest of it
 * only while callers may be coming back, which is one usual wait after a request that was not
 * served here. Safe for use by several threads.
 */
public final class FirstAttempts {

  /** Width of a step in which waits are counted, in milliseconds; covers differences in transit. */
  private static final int STEP_MILLIS = 32;

  /** Steps that are counted; longer waits are all taken for one of eight seconds. */
  private static final int STEPS = 256;

  /** Least difference from the usual wait that tells a caller that comes back, in milliseconds. */
  private static final long LEAST_SPENT_MILLIS = 16;

  /** Least share of the requests that state a wait for it to be a usual one. */
  private static final double USUAL_SHARE = 0.1;

  /** Requests after which the counts of a rule are halved, so that a changed wait is learnt. */
  private static final int HALVE_AFTER = 512;

  /** Requests of a rule from which its usual wait is taken to be known. */
  private static final int KNOWN_AFTER = 8;

  /** Rules that are remembered at most. */
  private static final int MAX_RULES = 10_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static final class Waits {
    private final int[] counts = new int[STEPS];
    private final int[] sumsMillis = new int[STEPS];
    private int total;
    private boolean unserved;
    private long unservedNanos;

    synchronized void count(long millis) {
      int step = Math.clamp(millis / STEP_MILLIS, 0, STEPS - 1);
      counts[step]++;
      sumsMillis[step] += (int) Math.min(millis, STEPS * STEP_MILLIS);
      total++;
      if (total >= HALVE_AFTER) {
        halve();
      }
    }

    private void halve() {
      total = 0;
      for (int i = 0; i < STEPS; i++) {
        // Keeps the mean of a step while its count loses a fraction.
        sumsMillis[i] = counts[i] == 0 ? 0 : sumsMillis[i] / counts[i] * (counts[i] / 2);
        counts[i] /= 2;
        total += counts[i];
      }
    }

    synchronized void onUnserved(long nowNanos) {
      unserved = true;
      unservedNanos = nowNanos;
    }

    synchronized long spentMillis(long millis, long nowNanos) {
      if (!unserved || total < KNOWN_AFTER) {
        return 0;
      }
      long usualMillis = usualMillis();
      boolean mayReturn = nowNanos - unservedNanos <= usualMillis * NANOS_PER_MILLI;
      long spent = usualMillis - millis;
      return mayReturn && spent >= LEAST_SPENT_MILLIS ? spent : 0;
    }

    // The longest wait that many callers state: those that come back state shorter ones. Two steps
    // are looked at together, as a wait may lie on the border between them.
    private long usualMillis() {
      int step = STEPS - 1;
      while (step > 1 && counts[step] + counts[step - 1] < USUAL_SHARE * total) {
        step--;
      }
      int count = counts[step] + counts[step - 1];
      return count == 0 ? 0 : (sumsMillis[step] + sumsMillis[step - 1]) / count;
    }
  }

  private final Map<RuleName, Waits> byRule = new ConcurrentHashMap<>();

  /** Creates an estimate that knows no rule. */
  public FirstAttempts() {}

  /**
   * Takes in how long a caller waits, and estimates how long it has waited before.
   *
   * @param rule the request's rule
   * @param waitMillis how long the caller says that it waits from now on, in milliseconds
   * @param nowNanos the current time
   * @return the time since the caller's first attempt in milliseconds; 0 if this is the first
   */
  public long spentMillis(RuleName rule, long waitMillis, long nowNanos) {
    Waits waits = waits(rule);
    waits.count(waitMillis);
    return waits.spentMillis(waitMillis, nowNanos);
  }

  /**
   * Notes that a request was not served, so that its caller may come back.
   *
   * @param rule the request's rule
   * @param nowNanos the current time
   */
  public void onUnserved(RuleName rule, long nowNanos) {
    waits(rule).onUnserved(nowNanos);
  }

  private Waits waits(RuleName rule) {
    if (byRule.size() >= MAX_RULES) {
      byRule.clear();
    }
    return byRule.computeIfAbsent(rule, key -> new Waits());
  }
}
