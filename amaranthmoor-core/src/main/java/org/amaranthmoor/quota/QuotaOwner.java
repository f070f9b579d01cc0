package org.amaranthmoor.quota;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.config.TeamQuota;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.TeamName;

/**
 * Grants the tokens of the teams whose quotas this node owns.
 *
 * <p>Each team has a bucket of its rate and burst, both scaled by the share of the known members
 * that this node regards as reachable, so that the parts of a partitioned mesh together stay below
 * the quota. A bucket exists from the time at which this node became the owner; its state is
 * created on first use and discarded when it is idle and full.
 *
 * <p>Invariants: a bucket of a new owner starts with a part of the tolerated excess only, because
 * the previous owner may just have granted the burst. The same holds after a pause of this process
 * that is long enough for others to have replaced it. Before this node knows the other members it
 * grants nothing. Safe for use by several threads.
 */
public final class QuotaOwner {

  /**
   * Time without a tick after which another owner may have granted tokens, in nanoseconds. A member
   * is replaced after a suspicion of 3 s at the earliest.
   */
  private static final long PAUSE_NANOS = 2_500_000_000L;

  /** Time after the last use at which a full bucket is discarded, in nanoseconds. */
  private static final long IDLE_NANOS = 60_000_000_000L;

  /**
   * Time between two rises of the reachable share within which the lower one counts, in
   * nanoseconds. Members of a part that returns are learnt one after the other.
   */
  private static final long CEILING_NANOS = 30_000_000_000L;

  /**
   * Share of the addition to the quota that goes to the rate; the rest goes to the burst. Of a team
   * that sends 1.5 times its rate of 96 a second for 8 s, a replay refused 222 requests with 0.75,
   * 229 with 0.5 and 243 with 0.
   */
  private static final double EXTRA_RATE_SHARE = 0.75;

  private static final double NANOS_PER_SECOND = 1e9;

  /** Longest time until further tokens that a grant states, in nanoseconds. */
  private static final long MAX_RETRY_NANOS = 60_000_000_000L;

  /**
   * The reply to a demand for tokens.
   *
   * @param owner whether this node grants tokens of the team at all
   * @param tokens number of tokens granted
   * @param retryAfterNanos time after which further tokens are expected, in nanoseconds; 0 if all
   *     were granted
   */
  public record Grant(boolean owner, int tokens, long retryAfterNanos) {

    /** The reply of a node that is not the owner. */
    public static final Grant NOT_OWNER = new Grant(false, 0, 0);
  }

  private static final class Bucket {
    private final int partition;
    private final boolean deputy;
    private TeamQuota quota;
    private double level;
    // Share-weighted time, see shareSeconds, and time of the last use.
    private double updatedShareSeconds;
    private long updatedNanos;
    private long usedNanos;

    private Bucket(int partition, boolean deputy, TeamQuota quota) {
      this.partition = partition;
      this.deputy = deputy;
      this.quota = quota;
    }
  }

  private final NodeName self;
  private final QuotaBound bound;
  private final Map<TeamName, Bucket> buckets = new HashMap<>();
  private final boolean[] owned = new boolean[QuotaMembers.PARTITIONS];
  private final long[] ownedSinceNanos = new long[QuotaMembers.PARTITIONS];
  private final double[] ownedSinceShareSeconds = new double[QuotaMembers.PARTITIONS];
  private QuotaMembers members;
  private boolean membersKnown;
  private double share;
  // Integral of the reachable share over time, so that a bucket is refilled by what the share was.
  private double shareSeconds;
  private long shareUpdatedNanos;
  // Level that no bucket exceeded when the share last rose, as a share of the burst.
  private double ceiling = 1;
  private double ceilingShareSeconds;
  private long ceilingNanos;
  private long lastTickNanos;

  /**
   * Creates an owner of nothing.
   *
   * @param self this node
   * @param bound how far quotas may be exceeded
   * @param nowNanos the current time
   */
  public QuotaOwner(NodeName self, QuotaBound bound, long nowNanos) {
    this.self = self;
    this.bound = bound;
    this.members = new QuotaMembers(java.util.List.of(), 0);
    this.shareUpdatedNanos = nowNanos;
    this.lastTickNanos = nowNanos;
    this.ceilingNanos = nowNanos - CEILING_NANOS;
  }

  /**
   * Takes over a changed view of the members. From the first call on, this node grants tokens.
   *
   * @param changed the view
   * @param nowNanos the current time
   */
  public synchronized void onMembers(QuotaMembers changed, long nowNanos) {
    restartAfterPause(nowNanos);
    advance(nowNanos);
    members = changed;
    if (membersKnown) {
      setShare(changed.reachableShare());
    } else {
      share = changed.reachableShare();
      membersKnown = true;
    }
    for (int partition = 0; partition < QuotaMembers.PARTITIONS; partition++) {
      boolean owns = isSelf(changed.ownerOf(partition));
      if (owns != owned[partition]) {
        owned[partition] = owns;
        start(partition, nowNanos);
      }
    }
    buckets
        .values()
        .removeIf(bucket -> bucket.deputy ? !isDeputy(bucket.partition) : !owned[bucket.partition]);
  }

  private void setShare(double changed) {
    if (changed < share) {
      buckets.values().forEach(this::refill);
      share = changed;
      buckets.values().forEach(this::refill);
    } else if (changed > share) {
      buckets.values().forEach(this::refill);
      boolean recent = shareUpdatedNanos - ceilingNanos < CEILING_NANOS;
      ceiling = recent ? Math.min(ceiling, share) : share;
      ceilingShareSeconds = shareSeconds;
      ceilingNanos = shareUpdatedNanos;
      share = changed;
    }
  }

  private boolean isSelf(Optional<NodeName> node) {
    return node.isPresent() && node.get().equals(self);
  }

  private boolean isDeputy(int partition) {
    return !owned[partition] && isSelf(members.deputyOf(partition));
  }

  private void start(int partition, long nowNanos) {
    ownedSinceNanos[partition] = nowNanos;
    ownedSinceShareSeconds[partition] = shareSeconds;
    buckets.values().removeIf(bucket -> bucket.partition == partition);
  }

  private void advance(long nowNanos) {
    long elapsed = Math.max(0, nowNanos - shareUpdatedNanos);
    shareSeconds += share * elapsed / NANOS_PER_SECOND;
    shareUpdatedNanos += elapsed;
  }

  /**
   * Discards buckets that are idle and full, and notices pauses of the process. Called several
   * times a second.
   *
   * @param nowNanos the current time
   */
  public synchronized void tick(long nowNanos) {
    restartAfterPause(nowNanos);
    advance(nowNanos);
    for (Iterator<Bucket> all = buckets.values().iterator(); all.hasNext(); ) {
      Bucket bucket = all.next();
      if (nowNanos - bucket.usedNanos > IDLE_NANOS) {
        refill(bucket);
        double created =
            bucket.deputy
                ? deputyBurst(bucket.quota)
                : initialLevel(bucket.partition, bucket.quota);
        if (bucket.level >= created) {
          all.remove();
        }
      }
    }
  }

  private void restartAfterPause(long nowNanos) {
    if (nowNanos - lastTickNanos > PAUSE_NANOS) {
      advance(nowNanos);
      for (int partition = 0; partition < QuotaMembers.PARTITIONS; partition++) {
        start(partition, nowNanos);
      }
    }
    lastTickNanos = Math.max(lastTickNanos, nowNanos);
  }

  /**
   * Grants tokens.
   *
   * @param team the team
   * @param quota its quota in the configuration in force here
   * @param wanted number of tokens that are asked for
   * @param returned number of tokens that were granted before and are given back unused
   * @param nowNanos the current time
   * @return the reply
   */
  public synchronized Grant grant(
      TeamName team, TeamQuota quota, int wanted, int returned, long nowNanos) {
    if (nowNanos - lastTickNanos > PAUSE_NANOS) {
      restartAfterPause(nowNanos);
    }
    advance(nowNanos);
    int partition = QuotaMembers.partitionOf(team);
    boolean deputy = membersKnown && isDeputy(partition);
    if (!membersKnown || !(owned[partition] || deputy)) {
      return Grant.NOT_OWNER;
    }
    if (!quota.isLimited()) {
      return new Grant(true, wanted, 0);
    }
    Bucket bucket = buckets.computeIfAbsent(team, name -> create(partition, deputy, quota));
    refill(bucket);
    bucket.quota = quota;
    bucket.usedNanos = nowNanos;
    bucket.level = Math.min(bucket.level + Math.max(0, returned), burst(bucket));
    int tokens = (int) Math.min(Math.max(0, wanted), Math.floor(bucket.level + 1e-9));
    bucket.level -= tokens;
    return new Grant(true, tokens, tokens < wanted ? nanosUntilToken(bucket) : 0);
  }

  private Bucket create(int partition, boolean deputy, TeamQuota quota) {
    Bucket bucket = new Bucket(partition, deputy, quota);
    bucket.level = deputy ? burst(bucket) : initialLevel(partition, quota);
    bucket.updatedShareSeconds = shareSeconds;
    bucket.updatedNanos = shareUpdatedNanos;
    return bucket;
  }

  // The level of a bucket that has not been used since this node became the owner.
  private double initialLevel(int partition, TeamQuota quota) {
    double seconds = (shareUpdatedNanos - ownedSinceNanos[partition]) / NANOS_PER_SECOND;
    double ownedShareSeconds = shareSeconds - ownedSinceShareSeconds[partition];
    double sinceStart =
        QuotaBound.NEW_OWNER_PART * bound.excess(quota) * share
            + quota.requestsPerSecond() * ownedShareSeconds
            + extraRate(quota) * seconds;
    double sinceCeiling =
        quota.burst() * ceiling + quota.requestsPerSecond() * (shareSeconds - ceilingShareSeconds);
    return Math.min(Math.min(sinceStart, sinceCeiling), ownerBurst(quota));
  }

  private void refill(Bucket bucket) {
    double seconds = (shareUpdatedNanos - bucket.updatedNanos) / NANOS_PER_SECOND;
    double added =
        bucket.deputy
            ? deputyRate(bucket.quota) * seconds
            : bucket.quota.requestsPerSecond() * (shareSeconds - bucket.updatedShareSeconds)
                + extraRate(bucket.quota) * seconds;
    bucket.level = Math.min(bucket.level + added, burst(bucket));
    bucket.updatedShareSeconds = shareSeconds;
    bucket.updatedNanos = shareUpdatedNanos;
  }

  private double burst(Bucket bucket) {
    return bucket.deputy ? deputyBurst(bucket.quota) : ownerBurst(bucket.quota);
  }

  // All parts of the mesh together add a part of the tolerated excess to the quota. The burst gets
  // what the rate does not use in a window. A bucket holds at least one token, as it could grant
  // none otherwise.
  private double ownerBurst(TeamQuota quota) {
    double extra = addedPart(quota) - extraRate(quota) * bound.windowSeconds();
    return Math.max(1, quota.burst() * share + extra);
  }

  // For a small team this makes up for the shares of members whose processes have ended.
  private double extraRate(TeamQuota quota) {
    return addedPart(quota) * EXTRA_RATE_SHARE / bound.windowSeconds();
  }

  private double addedPart(TeamQuota quota) {
    return QuotaBound.ADDED_PART * bound.excess(quota) * share;
  }

  // Half of the part is granted at once and half in the course of a window.
  private double deputyRate(TeamQuota quota) {
    return Math.min(
        quota.requestsPerSecond() * share, deputyPart(quota) / 2 / bound.windowSeconds());
  }

  private double deputyBurst(TeamQuota quota) {
    return Math.min(ownerBurst(quota), deputyPart(quota) / 2);
  }

  private double deputyPart(TeamQuota quota) {
    return QuotaBound.DEPUTY_PART * bound.excess(quota);
  }

  private long nanosUntilToken(Bucket bucket) {
    double rate =
        bucket.deputy
            ? deputyRate(bucket.quota)
            : bucket.quota.requestsPerSecond() * share + extraRate(bucket.quota);
    double nanos = (1 - bucket.level) / rate * NANOS_PER_SECOND;
    return nanos < MAX_RETRY_NANOS ? Math.max(1, (long) nanos) : MAX_RETRY_NANOS;
  }

  /** {@return the number of teams for which state is kept} */
  public synchronized int trackedTeams() {
    return buckets.size();
  }

  /** {@return the number of partitions that this node owns} */
  public synchronized int ownedPartitions() {
    int count = 0;
    for (boolean owns : owned) {
      count += owns ? 1 : 0;
    }
    return count;
  }
}
