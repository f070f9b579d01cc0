package org.amaranthmoor.balance;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.TeamName;

/**
 * Exponential backoff from a server that has refused requests of a rule.
 *
 * <p>Without it, in a burst beyond the capacity of all servers, each request tries every server
 * again, which costs processor time at all nodes and bytes between availability zones just when
 * both are scarce. The backoff doubles with each refusal in a row of the same team and ends with
 * the first of its requests that is accepted.
 *
 * <p>A full server refuses first the requests of a team that exceeds its share. The backoff after
 * refusals of one team therefore applies to this team only; other teams back off while those of two
 * teams are in force. The refusals of the last two teams are remembered. Safe for use by several
 * threads.
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

  private record TeamBackoff(Optional<TeamName> team, long untilNanos, long lengthNanos) {

    boolean isOver(long nowNanos) {
      return nowNanos - untilNanos >= 0;
    }
  }

  // The last refusal, and the last one of another team than that.
  private record Backoff(TeamBackoff last, Optional<TeamBackoff> other) {

    Optional<TeamBackoff> of(Optional<TeamName> team) {
      return last.team().equals(team)
          ? Optional.of(last)
          : other.filter(refusal -> refusal.team().equals(team));
    }

    Backoff withRefusal(TeamBackoff refusal, long nowNanos) {
      Optional<TeamBackoff> newOther =
          last.team().equals(refusal.team()) ? other : Optional.of(last);
      return new Backoff(refusal, newOther.filter(kept -> !kept.isOver(nowNanos)));
    }

    Optional<Backoff> without(Optional<TeamName> team) {
      Optional<TeamBackoff> keptOther = other.filter(refusal -> !refusal.team().equals(team));
      return last.team().equals(team)
          ? keptOther.map(kept -> new Backoff(kept, Optional.empty()))
          : Optional.of(new Backoff(last, keptOther));
    }

    boolean appliesTo(Optional<TeamName> team, long nowNanos) {
      boolean lastInForce = !last.isOver(nowNanos);
      boolean otherInForce = other.isPresent() && !other.get().isOver(nowNanos);
      return (lastInForce && (otherInForce || last.team().equals(team)))
          || (otherInForce && other.get().team().equals(team));
    }
  }

  private final Map<RequestKind, Backoff> backoffs = new ConcurrentHashMap<>();

  /** Creates a backoff without refusals. */
  RefusalBackoff() {}

  /**
   * Records a refusal.
   *
   * @param kind the requests that are refused alike
   * @param team the team of the request, or empty if it belongs to none
   * @param sameZone whether the server is in the own availability zone
   * @param nowNanos the current time
   */
  public void onRefused(
      RequestKind kind, Optional<TeamName> team, boolean sameZone, long nowNanos) {
    if (backoffs.size() >= MAX_REQUEST_KINDS) {
      backoffs.clear();
    }
    long initial = sameZone ? INITIAL_SAME_ZONE_NANOS : INITIAL_OTHER_ZONE_NANOS;
    long max = sameZone ? MAX_SAME_ZONE_NANOS : MAX_OTHER_ZONE_NANOS;
    backoffs.compute(
        kind,
        (key, old) -> {
          Optional<TeamBackoff> before = Optional.ofNullable(old).flatMap(o -> o.of(team));
          long length = before.map(b -> Math.min(max, 2 * b.lengthNanos())).orElse(initial);
          TeamBackoff refusal = new TeamBackoff(team, nowNanos + length, length);
          return old == null
              ? new Backoff(refusal, Optional.empty())
              : old.withRefusal(refusal, nowNanos);
        });
  }

  /**
   * Records that a request was accepted.
   *
   * @param kind the requests that are refused alike
   * @param team the team of the request, or empty if it belongs to none
   */
  public void onAccepted(RequestKind kind, Optional<TeamName> team) {
    backoffs.computeIfPresent(kind, (key, old) -> old.without(team).orElse(null));
  }

  /**
   * Returns whether requests should skip the server now.
   *
   * @param kind the requests that are refused alike
   * @param team the team of the requests, or empty if they belong to none
   * @param nowNanos the current time
   * @return whether the backoff after its last refusals of such requests is not over
   */
  public boolean isBackingOff(RequestKind kind, Optional<TeamName> team, long nowNanos) {
    Backoff backoff = backoffs.get(kind);
    return backoff != null && backoff.appliesTo(team, nowNanos);
  }
}
