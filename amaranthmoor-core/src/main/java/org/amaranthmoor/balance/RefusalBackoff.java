package org.amaranthmoor.balance;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.model.RuleName;

/**
 * Exponential backoff from a server that has refused requests of a rule.
 *
 * <p>Without it, in a burst beyond the capacity of all servers, each request tries every server
 * again, which costs processor time at all nodes and bytes between availability zones just when
 * both are scarce. The backoff doubles with each refusal in a row and ends with the first request
 * that is accepted. Safe for use by several threads.
 */
public final class RefusalBackoff {

  /** Initial backoff from a server in the own availability zone, in nanoseconds. */
  private static final long INITIAL_SAME_ZONE_NANOS = 10_000_000L;

  /** Longest backoff from a server in the own availability zone, in nanoseconds. */
  private static final long MAX_SAME_ZONE_NANOS = 40_000_000L;

  /** Initial backoff from a server in another availability zone, in nanoseconds. */
  private static final long INITIAL_OTHER_ZONE_NANOS = 50_000_000L;

  /** Longest backoff from a server in another availability zone, in nanoseconds. */
  private static final long MAX_OTHER_ZONE_NANOS = 400_000_000L;

  /** Most kinds of requests that are remembered. */
  private static final int MAX_REQUEST_KINDS = 256;

  /**
   * Requests that a server refuses alike.
   *
   * @param rule their rule
   * @param maxWaitPercent their maximum wait at a server, as in {@link AttemptPlan.Choice}
   */
  public record RequestKind(RuleName rule, int maxWaitPercent) {}

  private record Backoff(long untilNanos, long lengthNanos) {}

  private final Map<RequestKind, Backoff> backoffs = new ConcurrentHashMap<>();

  /** Creates a backoff without refusals. */
  RefusalBackoff() {}

  /**
   * Records a refusal.
   *
   * @param kind the requests that are refused alike
   * @param sameZone whether the server is in the own availability zone
   * @param nowNanos the current time
   */
  public void onRefused(RequestKind kind, boolean sameZone, long nowNanos) {
    if (backoffs.size() >= MAX_REQUEST_KINDS) {
      backoffs.clear();
    }
    long initial = sameZone ? INITIAL_SAME_ZONE_NANOS : INITIAL_OTHER_ZONE_NANOS;
    long max = sameZone ? MAX_SAME_ZONE_NANOS : MAX_OTHER_ZONE_NANOS;
    backoffs.compute(
        kind,
        (key, old) -> {
          long length = old == null ? initial : Math.min(max, 2 * old.lengthNanos());
          return new Backoff(nowNanos + length, length);
        });
  }

  /**
   * Records that a request was accepted.
   *
   * @param kind the requests that are refused alike
   */
  public void onAccepted(RequestKind kind) {
    backoffs.remove(kind);
  }

  /**
   * Returns whether requests should skip the server now.
   *
   * @param kind the requests that are refused alike
   * @param nowNanos the current time
   * @return whether the backoff after its last refusal of such requests is not over
   */
  public boolean isBackingOff(RequestKind kind, long nowNanos) {
    Backoff backoff = backoffs.get(kind);
    return backoff != null && nowNanos - backoff.untilNanos() < 0;
  }
}
