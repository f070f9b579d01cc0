package org.amaranthmoor.caller;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.model.RuleName;

/**
 * Estimates how long ago a caller made the first attempt at a request that it now retries.
 *
 * <p>In a burst, refused callers retry. The latency of their answer counts from their first
 * attempt, so they have less time left than callers that make a first attempt. All callers of a
 * rule are expected to wait equally long in total, and a caller that retries states only the rest
 * of its wait. The typical wait of a rule is learned from the waits that callers state. A shorter
 * wait is taken for the rest of the typical one only while callers may be retrying, which is for
 * one typical wait after a request that was not served here. Safe for use by several threads.
 */
public final class FirstAttemptEstimator {

  /** Width of a histogram bucket, in milliseconds; covers differences in transit time. */
  private static final int BUCKET_MILLIS = 32;

  /** Buckets of a histogram; longer waits are all counted as eight seconds. */
  private static final int BUCKETS = 256;

  /** Least difference from the typical wait that identifies a retry, in milliseconds. */
  private static final long MIN_ELAPSED_MILLIS = 16;

  /** Least share of the requests that must state a wait for it to be typical. */
  private static final double MIN_SHARE_OF_TYPICAL_WAIT = 0.1;

  /** Requests after which the counts of a rule are halved, so that a changed wait is learned. */
  private static final int HALVE_AFTER_REQUESTS = 512;

  /** Requests of a rule from which on its typical wait counts as known. */
  private static final int MIN_REQUESTS = 8;

  /** Most rules that are remembered. */
  private static final int MAX_RULES = 10_000;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private static final class WaitHistogram {
    private final int[] counts = new int[BUCKETS];
    private final int[] waitSumsMillis = new int[BUCKETS];
    private int total;
    private boolean anyNotServed;
    private long lastNotServedNanos;

    synchronized void count(long waitMillis) {
      int bucket = Math.clamp(waitMillis / BUCKET_MILLIS, 0, BUCKETS - 1);
      counts[bucket]++;
      waitSumsMillis[bucket] += (int) Math.min(waitMillis, BUCKETS * BUCKET_MILLIS);
      total++;
      if (total >= HALVE_AFTER_REQUESTS) {
        halve();
      }
    }

    private void halve() {
      total = 0;
      for (int i = 0; i < BUCKETS; i++) {
        // Keeps the mean wait of the bucket although halving rounds its count down.
        waitSumsMillis[i] = counts[i] == 0 ? 0 : waitSumsMillis[i] / counts[i] * (counts[i] / 2);
        counts[i] /= 2;
        total += counts[i];
      }
    }

    synchronized void onNotServed(long nowNanos) {
      anyNotServed = true;
      lastNotServedNanos = nowNanos;
    }

    synchronized long millisSinceFirstAttempt(long waitMillis, long nowNanos) {
      if (!anyNotServed || total < MIN_REQUESTS) {
        return 0;
      }
      long typicalMillis = typicalMillis();
      boolean mayBeRepeat = nowNanos - lastNotServedNanos <= typicalMillis * NANOS_PER_MILLI;
      long elapsedMillis = typicalMillis - waitMillis;
      return mayBeRepeat && elapsedMillis >= MIN_ELAPSED_MILLIS ? elapsedMillis : 0;
    }

    // The longest wait that many callers state, as those that retry state shorter ones. Adjacent
    // buckets are added up in pairs, as a wait may lie on the boundary between two of them.
    private long typicalMillis() {
      int bucket = BUCKETS - 1;
      while (bucket > 1
          && counts[bucket] + counts[bucket - 1] < MIN_SHARE_OF_TYPICAL_WAIT * total) {
        bucket--;
      }
      int count = counts[bucket] + counts[bucket - 1];
      return count == 0 ? 0 : (waitSumsMillis[bucket] + waitSumsMillis[bucket - 1]) / count;
    }
  }

  private final Map<RuleName, WaitHistogram> byRule = new ConcurrentHashMap<>();

  /** Creates an estimator that knows no rule. */
  public FirstAttemptEstimator() {}

  /**
   * Records how long a caller waits, and estimates how long it has waited before.
   *
   * @param rule the request's rule
   * @param waitMillis the wait from now on that the caller states, in milliseconds
   * @param nowNanos the current time
   * @return the time since the caller's first attempt in milliseconds; 0 if this is the first
   */
  public long millisSinceFirstAttempt(RuleName rule, long waitMillis, long nowNanos) {
    WaitHistogram histogram = histogram(rule);
    histogram.count(waitMillis);
    return histogram.millisSinceFirstAttempt(waitMillis, nowNanos);
  }

  /**
   * Records that a request was not served, so that its caller may retry.
   *
   * @param rule the request's rule
   * @param nowNanos the current time
   */
  public void onNotServed(RuleName rule, long nowNanos) {
    histogram(rule).onNotServed(nowNanos);
  }

  private WaitHistogram histogram(RuleName rule) {
    if (byRule.size() >= MAX_RULES) {
      byRule.clear();
    }
    return byRule.computeIfAbsent(rule, key -> new WaitHistogram());
  }
}
