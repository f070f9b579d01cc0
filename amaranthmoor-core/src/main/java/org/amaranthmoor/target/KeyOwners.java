package org.amaranthmoor.target;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.Rendezvous;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.platform.Announced;
import org.amaranthmoor.platform.ClusterState;

/**
 * The members of a service at one log offset, and which of them is the home of a key.
 *
 * <p>Depends only on the folded state, so every node at the same offset finds the same home.
 * Immutable and safe for use by several threads.
 *
 * @param members the members in order of nodes
 */
public record KeyOwners(List<Member> members) {

  /**
   * One run of a node.
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

    /** {@return the node, so that a replaced instance stays the home of its keys} */
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
    for (Announced server : state.servers(service)) {
      members.add(new Member(server.node(), server.incarnation()));
    }
    return new KeyOwners(members);
  }

  /**
   * Finds the home of a key.
   *
   * @param key the key
   * @return the member, or empty if there are none
   */
  public Optional<Member> ownerOf(IdempotencyKey key) {
    long hash = Rendezvous.hash(key.toString());
    return Rendezvous.rank(hash, members).stream().findFirst();
  }

  /** {@return a number that differs between different sets of members, with near certainty} */
  public long fingerprint() {
    StringBuilder text = new StringBuilder();
    for (Member member : members) {
      text.append(member.node()).append('/').append(member.incarnation()).append(' ');
    }
    return Rendezvous.hash(text.toString());
  }
}
