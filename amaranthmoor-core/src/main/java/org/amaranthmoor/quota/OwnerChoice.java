package org.amaranthmoor.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.TeamName;

/**
 * Chooses the member that an entry side asks for tokens: the owner, or its deputy while the owner
 * does not answer.
 *
 * <p>A member that did not answer is not waited for again for a while. It is asked in the
 * background meanwhile, so that no request waits for a member that is down. Safe for use by several
 * threads.
 */
public final class OwnerChoice {

  /**
   * Time after which a member that did not answer once is asked again, in nanoseconds. It may only
   * have been slow.
   */
  private static final long FIRST_RETRY_NANOS = 100_000_000L;

  /** Interval at which a member that does not answer is asked again, in nanoseconds. */
  private static final long RETRY_INTERVAL_NANOS = 500_000_000L;

  /**
   * Time for which a member is not asked for a team after it answered that it does not own the
   * team, in nanoseconds. The views of the members agree again soon.
   */
  private static final long NOT_OWNER_INTERVAL_NANOS = 200_000_000L;

  private record Refusal(NodeName node, int partition) {}

  // When members that did not answer are asked again.
  private final Map<NodeName, Long> retryNanos = new HashMap<>();
  private final Map<Refusal, Long> notOwnerUntilNanos = new HashMap<>();

  /** Creates a choice that regards all members as answering. */
  public OwnerChoice() {}

  /**
   * Chooses the member to ask.
   *
   * @param members the view of the members
   * @param team the team
   * @param nowNanos the current time
   * @return the member, or empty if neither the owner nor the deputy grants tokens
   */
  public synchronized Optional<NodeName> choose(
      QuotaMembers members, TeamName team, long nowNanos) {
    return members
        .ownerOf(team)
        .filter(node -> grants(node, team, nowNanos))
        .or(() -> members.deputyOf(team).filter(node -> grants(node, team, nowNanos)));
  }

  private boolean grants(NodeName node, TeamName team, long nowNanos) {
    if (retryNanos.containsKey(node)) {
      return false;
    }
    Refusal refusal = new Refusal(node, QuotaMembers.partitionOf(team));
    Long until = notOwnerUntilNanos.get(refusal);
    if (until != null && nowNanos - until >= 0) {
      notOwnerUntilNanos.remove(refusal);
    }
    return until == null || nowNanos - until >= 0;
  }

  /**
   * Claims the next attempt to ask the owner of a team or its deputy in the background.
   *
   * @param members the view of the members
   * @param team the team
   * @param nowNanos the current time
   * @return the member, if it does not answer and is to be asked again now
   */
  public synchronized Optional<NodeName> claimRetry(
      QuotaMembers members, TeamName team, long nowNanos) {
    Optional<NodeName> due =
        members
            .ownerOf(team)
            .filter(node -> isRetryDue(node, nowNanos))
            .or(() -> members.deputyOf(team).filter(node -> isRetryDue(node, nowNanos)));
    due.ifPresent(node -> retryNanos.put(node, nowNanos + RETRY_INTERVAL_NANOS));
    return due;
  }

  private boolean isRetryDue(NodeName node, long nowNanos) {
    Long due = retryNanos.get(node);
    return due != null && nowNanos - due >= 0;
  }

  /**
   * Records a reply.
   *
   * @param node the member
   * @param team the team
   * @param owner whether it grants tokens of the team
   * @param nowNanos the current time
   */
  public synchronized void onReply(NodeName node, TeamName team, boolean owner, long nowNanos) {
    retryNanos.remove(node);
    Refusal refusal = new Refusal(node, QuotaMembers.partitionOf(team));
    if (owner) {
      notOwnerUntilNanos.remove(refusal);
    } else {
      notOwnerUntilNanos.put(refusal, nowNanos + NOT_OWNER_INTERVAL_NANOS);
    }
  }

  /**
   * Records that a member did not answer in time.
   *
   * @param node the member
   * @param nowNanos the current time
   */
  public synchronized void onTimeout(NodeName node, long nowNanos) {
    retryNanos.merge(
        node,
        nowNanos + FIRST_RETRY_NANOS,
        (due, first) -> Math.max(due, nowNanos + RETRY_INTERVAL_NANOS));
  }

  /**
   * Forgets members.
   *
   * @param kept whether a member is kept
   */
  public synchronized void retain(Predicate<NodeName> kept) {
    retryNanos.keySet().removeIf(node -> !kept.test(node));
    notOwnerUntilNanos.keySet().removeIf(refusal -> !kept.test(refusal.node()));
  }
}
