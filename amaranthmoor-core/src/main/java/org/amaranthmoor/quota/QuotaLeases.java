package org.amaranthmoor.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.amaranthmoor.config.TeamQuota;
import org.amaranthmoor.model.TeamName;

/**
 * The tokens that an entry side holds, by team, and what it asks the owners for.
 *
 * <p>A rarely used team holds no tokens in advance: each of its requests asks for one. For a busy
 * team more are asked for, so that most requests find one. A token that is not used in time is
 * given back.
 *
 * <p>While no owner answers, a local allowance decides: the rate divided by the number of known
 * nodes, so that all nodes together stay near the rate. It starts empty. If the owner has answered
 * recently it may still grant the whole rate to others, so that the allowance is reduced until the
 * members have noticed the failure.
 *
 * <p>Invariant: no token is used after its lifetime. Safe for use by several threads.
 */
public final class QuotaLeases {

  /** Lifetime of a token at an entry side, in nanoseconds. */
  static final long TOKEN_LIFETIME_NANOS = 400_000_000L;

  /** Lifetime of a token that a request gave back, in nanoseconds. */
  private static final long RELEASED_LIFETIME_NANOS = 200_000_000L;

  /** Longest time until a token that is stated while no owner answers, in nanoseconds. */
  private static final long MAX_LOCAL_RETRY_NANOS = 500_000_000L;

  /** Time for which tokens are asked for in advance, in seconds. */
  private static final double AHEAD_SECONDS = 0.1;

  /** Largest number of tokens that are asked for in advance. */
  private static final int MAX_AHEAD = 64;

  /** Time over which demand is averaged, in seconds. */
  private static final double DEMAND_SECONDS = 1;

  /**
   * Longest time after a refusal by the owner for which no token of the team is asked for, in
   * nanoseconds. It limits the messages of a team that sends far more than its quota. A longer time
   * lets requests at other nodes take the tokens that come free meanwhile.
   */
  private static final long MAX_BACKOFF_NANOS = 10_000_000L;

  /**
   * Time after the last reply of an owner in which the local allowance is reduced, in nanoseconds:
   * the time in which members notice that a member is unreachable.
   */
  private static final long DETECTION_NANOS = 6_000_000_000L;

  /** Share of the local allowance that is used before the members have noticed a failure. */
  private static final double UNDETECTED_SHARE = 0.25;

  /** Time after the last request at which the state of a team is discarded, in nanoseconds. */
  private static final long IDLE_NANOS = 10_000_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Longest time until a token that is stated, in nanoseconds. */
  private static final long MAX_RETRY_NANOS = 60_000_000_000L;

  private static final class Batch {
    private int tokens;
    private final long expiresNanos;

    private Batch(int tokens, long expiresNanos) {
      this.tokens = tokens;
      this.expiresNanos = expiresNanos;
    }
  }

  private static final class Lease {
    private final Deque<Batch> batches = new ArrayDeque<>();
    private int unused;
    private double demandPerSecond;
    private long demandNanos;
    private long usedNanos;
    private long retryNanos;
    private long backoffNanos;
    private boolean everGranted;
    private long grantedNanos;
    private double localLevel;
    private long localNanos;
    private boolean local;

    private Lease(long nowNanos) {
      demandNanos = nowNanos;
      usedNanos = nowNanos;
      retryNanos = nowNanos;
    }
  }

  private final Map<TeamName, Lease> leases = new HashMap<>();

  /** Creates leases that hold no tokens. */
  public QuotaLeases() {}

  /**
   * What an entry side asks the owner of a team for.
   *
   * @param wanted number of tokens
   * @param returned number of tokens that are given back
   */
  public record Demand(int wanted, int returned) {}

  /**
   * Counts a request of a team and takes a token if one is held.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return whether a token was taken
   */
  public synchronized boolean onRequest(TeamName team, long nowNanos) {
    Lease lease = lease(team, nowNanos);
    decayDemand(lease, nowNanos);
    lease.demandPerSecond += 1 / DEMAND_SECONDS;
    lease.usedNanos = nowNanos;
    return tryTake(team, nowNanos);
  }

  /**
   * Takes a token if one is held.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return whether a token was taken
   */
  public synchronized boolean tryTake(TeamName team, long nowNanos) {
    Lease lease = lease(team, nowNanos);
    expire(lease, nowNanos);
    if (lease.batches.isEmpty()) {
      return false;
    }
    Batch oldest = lease.batches.getFirst();
    oldest.tokens--;
    if (oldest.tokens == 0) {
      lease.batches.removeFirst();
    }
    return true;
  }

  /**
   * Returns what to ask the owner for, and regards the tokens that it gives back as sent.
   *
   * @param team the team
   * @param waiting number of requests that wait for a token
   * @param nowNanos the current time
   * @return the demand
   */
  public synchronized Demand demand(TeamName team, int waiting, long nowNanos) {
    Lease lease = lease(team, nowNanos);
    expire(lease, nowNanos);
    decayDemand(lease, nowNanos);
    double ahead = waiting == 0 ? 0 : Math.min(MAX_AHEAD, lease.demandPerSecond * AHEAD_SECONDS);
    int returned = lease.unused;
    lease.unused = 0;
    return new Demand(Math.max(0, waiting + (int) ahead - held(lease)), returned);
  }

  /**
   * Takes over the reply of an owner. The lifetime of the tokens counts from the demand, so that a
   * late reply does not prolong it.
   *
   * @param team the team
   * @param grant the reply
   * @param askedNanos the time of the demand
   * @param nowNanos the current time
   */
  public synchronized void onGrant(
      TeamName team, QuotaOwner.Grant grant, long askedNanos, long nowNanos) {
    if (!grant.owner()) {
      return;
    }
    Lease lease = lease(team, nowNanos);
    lease.everGranted = true;
    lease.grantedNanos = nowNanos;
    lease.local = false;
    if (grant.tokens() > 0) {
      lease.batches.addLast(new Batch(grant.tokens(), askedNanos + TOKEN_LIFETIME_NANOS));
    }
    lease.retryNanos = nowNanos + grant.retryAfterNanos();
    lease.backoffNanos = nowNanos + Math.min(grant.retryAfterNanos(), MAX_BACKOFF_NANOS);
  }

  /**
   * Returns whether the owner has refused a token so recently that it is not asked again.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return whether a request is to be refused without a message
   */
  public synchronized boolean isBackingOff(TeamName team, long nowNanos) {
    Lease lease = leases.get(team);
    return lease != null && lease.everGranted && nowNanos - lease.backoffNanos < 0;
  }

  /**
   * Takes a token of the local allowance, which applies while no owner answers.
   *
   * @param team the team
   * @param quota its quota
   * @param knownNodes number of known nodes
   * @param nowNanos the current time
   * @return whether a token was taken
   */
  public synchronized boolean tryTakeLocal(
      TeamName team, TeamQuota quota, int knownNodes, long nowNanos) {
    Lease lease = lease(team, nowNanos);
    if (!lease.local) {
      lease.local = true;
      // The owner that granted them may have been replaced when it can be asked again.
      lease.unused = 0;
      lease.localLevel = 0;
      lease.localNanos = nowNanos;
    }
    double seconds = (nowNanos - lease.localNanos) / NANOS_PER_SECOND;
    double burst = Math.max(1, quota.burst() / Math.max(1, knownNodes));
    double rate = localRate(lease, quota, knownNodes, nowNanos);
    lease.localLevel = Math.min(burst, lease.localLevel + seconds * rate);
    lease.localNanos = nowNanos;
    if (lease.localLevel < 1) {
      long untilToken = (long) ((1 - lease.localLevel) / rate * NANOS_PER_SECOND);
      lease.retryNanos = nowNanos + Math.min(untilToken, MAX_LOCAL_RETRY_NANOS);
      return false;
    }
    lease.localLevel--;
    return true;
  }

  private static double localRate(Lease lease, TeamQuota quota, int knownNodes, long nowNanos) {
    boolean undetected = lease.everGranted && nowNanos - lease.grantedNanos < DETECTION_NANOS;
    return quota.requestsPerSecond()
        / Math.max(1, knownNodes)
        * (undetected ? UNDETECTED_SHARE : 1);
  }

  /**
   * Gives back the token of a request that reached no target. It is soon used by another request of
   * the team, or goes back to the owner. A token of the local allowance is lost, as the owner never
   * granted it.
   *
   * @param team the team
   * @param nowNanos the current time
   */
  public synchronized void release(TeamName team, long nowNanos) {
    Lease lease = lease(team, nowNanos);
    if (!lease.local) {
      lease.batches.addFirst(new Batch(1, nowNanos + RELEASED_LIFETIME_NANOS));
    }
  }

  /**
   * Returns the time until a token is expected for a team that was just refused.
   *
   * @param team the team
   * @param nowNanos the current time
   * @return the time in nanoseconds, at least 1
   */
  public synchronized long retryAfterNanos(TeamName team, long nowNanos) {
    Lease lease = leases.get(team);
    return lease == null ? 1 : Math.clamp(lease.retryNanos - nowNanos, 1, MAX_RETRY_NANOS);
  }

  /**
   * Returns the number of tokens held for a team.
   *
   * @param team the team
   * @return the number
   */
  public synchronized int held(TeamName team) {
    Lease lease = leases.get(team);
    return lease == null ? 0 : held(lease);
  }

  /**
   * Discards the state of idle teams. Called several times a second.
   *
   * @param nowNanos the current time
   * @return teams with unused tokens that are to be given back to their owners
   */
  public synchronized List<TeamName> tick(long nowNanos) {
    List<TeamName> withUnused = new ArrayList<>();
    for (Iterator<Map.Entry<TeamName, Lease>> all = leases.entrySet().iterator(); all.hasNext(); ) {
      Map.Entry<TeamName, Lease> entry = all.next();
      Lease lease = entry.getValue();
      expire(lease, nowNanos);
      if (lease.unused > 0) {
        withUnused.add(entry.getKey());
      } else if (lease.batches.isEmpty() && nowNanos - lease.usedNanos > IDLE_NANOS) {
        all.remove();
      }
    }
    return withUnused;
  }

  /** {@return the number of teams for which state is kept} */
  public synchronized int trackedTeams() {
    return leases.size();
  }

  private Lease lease(TeamName team, long nowNanos) {
    return leases.computeIfAbsent(team, name -> new Lease(nowNanos));
  }

  private static void decayDemand(Lease lease, long nowNanos) {
    double seconds = (nowNanos - lease.demandNanos) / NANOS_PER_SECOND;
    lease.demandPerSecond *= Math.exp(-seconds / DEMAND_SECONDS);
    lease.demandNanos = nowNanos;
  }

  private static void expire(Lease lease, long nowNanos) {
    for (Iterator<Batch> all = lease.batches.iterator(); all.hasNext(); ) {
      Batch batch = all.next();
      if (nowNanos - batch.expiresNanos >= 0) {
        lease.unused += batch.tokens;
        all.remove();
      }
    }
  }

  private static int held(Lease lease) {
    return lease.batches.stream().mapToInt(batch -> batch.tokens).sum();
  }
}
