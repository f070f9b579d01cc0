package org.amaranthmoor.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RendezvousHash;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;

/**
 * The members of a service at one log offset, which own the service's idempotency keys.
 *
 * <p>Each key has exactly one owner, chosen by rendezvous hashing. The choice depends only on the
 * folded state of the log, so all nodes at the same offset choose the same owner. Immutable and
 * safe for use by several threads.
 *
 * @param members the members, ordered by node and incarnation
 */
public record KeyOwners(List<Member> members) {

  /**
   * One incarnation of a node.
   *
   * @param node the node
   * @param incarnation its incarnation
   */
  public record Member(NodeName node, Incarnation incarnation) implements Comparable<Member> {
    private static final Comparator<Member> ORDER =
        Comparator.comparing(Member::node).thenComparing(Member::incarnation);

    @Override
    public int compareTo(Member other) {
      return ORDER.compare(this, other);
    }

    /** {@return the node's name alone, so that a new incarnation keeps the keys of the old one} */
    @Override
    public String toString() {
      return node.value();
    }
  }

  /** Sorts and copies the members. */
  public KeyOwners {
    List<Member> sorted = new ArrayList<>(members);
    sorted.sort(Comparator.naturalOrder());
    members = List.copyOf(sorted);
  }

  /**
   * Finds the members of a service.
   *
   * @param state the state
   * @param service the service
   * @return the members
   */
  public static KeyOwners of(ClusterState state, ServiceName service) {
    List<Member> members = new ArrayList<>();
    for (AnnouncedTarget server : state.servers(service)) {
      members.add(new Member(server.node(), server.incarnation()));
    }
    return new KeyOwners(members);
  }

  /**
   * Finds the owner of a key.
   *
   * @param key the key
   * @return the owner, or empty if there are no members
   */
  public Optional<Member> ownerOf(IdempotencyKey key) {
    long hash = RendezvousHash.hash(key.toString());
    return RendezvousHash.rank(hash, members).stream().findFirst();
  }

  /** {@return a hash of the members; different sets have different hashes with near certainty} */
  public long fingerprint() {
    StringBuilder text = new StringBuilder();
    for (Member member : members) {
      text.append(member.node()).append('/').append(member.incarnation()).append(' ');
    }
    return RendezvousHash.hash(text.toString());
  }
}
