package org.amaranthmoor.balance;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.model.RuleName;

/**
 * Remembers for a short time that a server has refused requests of a rule.
 *
 * <p>Answers a burst beyond all servers: without it each request asks every server again, which
 * costs processor time at all nodes and bytes between availability zones just when both are scarce.
 * The pause doubles with each refusal in a row and ends with the first request that is taken. Safe
 * for use by several threads.
 */
public final class RefusalBackoff {

  /** First pause for a server in the own availability zone, in nanoseconds. */
  private static final long INITIAL_SAME_ZONE_NANOS = 10_000_000L;

  /** Longest pause for a server in the own availability zone, in nanoseconds. */
  private static final long MAX_SAME_ZONE_NANOS = 40_000_000L;

  /** First pause for a server in another availability zone, in nanoseconds. */
  private static final long INITIAL_OTHER_ZONE_NANOS = 50_000_000L;

  /** Longest pause for a server in another availability zone, in nanoseconds. */
  private static final long MAX_OTHER_ZONE_NANOS = 400_000_000L;

  /** Rules that are remembered at most. */
  private static final int MAX_REQUEST_KINDS = 256;

  /**
   * Requests that are refused alike.
   *
   * @param rule their rule
   * @param maxWaitPercent share of the time until their objective that they allowed, in percent
   */
  public record RequestKind(RuleName rule, int maxWaitPercent) {}

  private record Backoff(long untilNanos, long lengthNanos) {}

  private final Map<RequestKind, Backoff> backoffs = new ConcurrentHashMap<>();

  /** Creates an empty memory. */
  RefusalBackoff() {}

  /**
   * Notes a refusal.
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
   * Notes that a request was taken.
   *
   * @param kind the requests that are refused alike
   */
  public void onAccepted(RequestKind kind) {
    backoffs.remove(kind);
  }

  /**
   * Returns whether requests need not ask the server now.
   *
   * @param kind the requests that are refused alike
   * @param nowNanos the current time
   * @return whether it has refused such requests a moment ago
   */
  public boolean isBackingOff(RequestKind kind, long nowNanos) {
    Backoff backoff = backoffs.get(kind);
    return backoff != null && nowNanos - backoff.untilNanos() < 0;
  }
}
