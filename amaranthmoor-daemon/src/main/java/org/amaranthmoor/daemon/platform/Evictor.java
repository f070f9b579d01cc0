package org.amaranthmoor.daemon.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RendezvousHash;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.target.KeyOwnership;

/**
 * Finds the members of this target's service that have been dead for so long that this node evicts
 * them.
 *
 * <p>The members of the service are ranked for each dead member. The first one requests the
 * eviction; each further one does so after a longer delay, in case those before it have failed too.
 * Called from one thread.
 */
public final class Evictor {

  private static final long EVICT_AFTER_NANOS = 10_000_000_000L;
  private static final long EVICT_RANK_DELAY_NANOS = 3_000_000_000L;

  private final NodeName self;
  private final Membership membership;
  private final AtomicReference<KeyOwnership> ownership;
  private final TimeSource time;

  /**
   * Creates an evictor.
   *
   * @param self this node
   * @param membership provides the dead members and how long they have been dead
   * @param ownership provides the members of this target's service
   * @param time the clock
   */
  public Evictor(
      NodeName self,
      Membership membership,
      AtomicReference<KeyOwnership> ownership,
      TimeSource time) {
    this.self = self;
    this.membership = membership;
    this.ownership = ownership;
    this.time = time;
  }

  /**
   * Finds the members that this node evicts now.
   *
   * @param state the newest state
   * @return the members; empty while this node is not established as a member itself
   */
  public List<Member> dueEvictions(ClusterState state) {
    List<Member> due = new ArrayList<>();
    if (!ownership.get().established()) {
      return due;
    }
    List<NodeName> candidates = candidates();
    for (Member dead : membership.deadFor(EVICT_AFTER_NANOS, time.nanos())) {
      if (candidates.contains(dead.node())
          && isAnnounced(state, dead)
          && isOwnTurn(dead, candidates)) {
        due.add(dead);
      }
    }
    return due;
  }

  private List<NodeName> candidates() {
    Optional<KeyOwners> keyOwners = ownership.get().current();
    return keyOwners
        .map(owners -> owners.members().stream().map(KeyOwners.Member::node).toList())
        .orElseGet(List::of);
  }

  private static boolean isAnnounced(ClusterState state, Member dead) {
    AnnouncedTarget announced = state.announcedTargets().get(dead.node());
    return announced != null && announced.incarnation().equals(dead.incarnation());
  }

  private boolean isOwnTurn(Member dead, List<NodeName> candidates) {
    List<NodeName> ranked =
        RendezvousHash.rank(RendezvousHash.hash(dead.node().value()), candidates).stream()
            .filter(node -> !node.equals(dead.node()))
            .toList();
    int rank = ranked.indexOf(self);
    long evictAfterNanos = EVICT_AFTER_NANOS + rank * EVICT_RANK_DELAY_NANOS;
    return rank >= 0 && membership.deadFor(evictAfterNanos, time.nanos()).contains(dead);
  }
}
