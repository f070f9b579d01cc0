package org.amaranthmoor.quota;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RendezvousHash;
import org.amaranthmoor.model.TeamName;

/**
 * The members as one node regards them, and the owners of quotas that follow from them.
 *
 * <p>Teams map to a fixed number of partitions, and each partition to the reachable members by
 * rendezvous hashing, so that the cost of a change of the members does not grow with the number of
 * teams. Nodes with the same view have the same owners. Immutable and safe for use by several
 * threads.
 */
public final class QuotaMembers {

  /**
   * Number of partitions; the same on all nodes and in all builds. It limits both the number of
   * owners that a node has links to and, in a large mesh, the load of one owner.
   */
  static final int PARTITIONS = 64;

  private static final long[] PARTITION_HASHES = partitionHashes();

  private final int known;
  private final int reachable;
  private final List<Optional<NodeName>> owners = new ArrayList<>(PARTITIONS);
  private final List<Optional<NodeName>> deputies = new ArrayList<>(PARTITIONS);

  /**
   * Creates a view.
   *
   * @param reachable the members that this node regards as reachable, itself included
   * @param known number of all members that have not left as planned, at least the reachable ones
   */
  public QuotaMembers(Collection<NodeName> reachable, int known) {
    this.reachable = reachable.size();
    this.known = Math.max(known, this.reachable);
    List<NodeName> members = reachable.stream().sorted().toList();
    long[] hashes = members.stream().mapToLong(node -> RendezvousHash.hash(node.value())).toArray();
    for (long partitionHash : PARTITION_HASHES) {
      addOwners(members, hashes, partitionHash);
    }
  }

  private static long[] partitionHashes() {
    long[] hashes = new long[PARTITIONS];
    for (int i = 0; i < PARTITIONS; i++) {
      hashes[i] = RendezvousHash.hash("quota-" + i);
    }
    return hashes;
  }

  private void addOwners(List<NodeName> members, long[] hashes, long partitionHash) {
    int first = -1;
    int second = -1;
    long firstWeight = 0;
    long secondWeight = 0;
    for (int i = 0; i < hashes.length; i++) {
      long weight = RendezvousHash.weight(partitionHash, hashes[i]);
      if (first < 0 || weight > firstWeight) {
        second = first;
        secondWeight = firstWeight;
        first = i;
        firstWeight = weight;
      } else if (second < 0 || weight > secondWeight) {
        second = i;
        secondWeight = weight;
      }
    }
    owners.add(first < 0 ? Optional.empty() : Optional.of(members.get(first)));
    deputies.add(second < 0 ? Optional.empty() : Optional.of(members.get(second)));
  }

  /**
   * Returns the partition of a team.
   *
   * @param team the team
   * @return a number from 0
   */
  static int partitionOf(TeamName team) {
    return (int) Long.remainderUnsigned(RendezvousHash.hash(team.value()), PARTITIONS);
  }

  /**
   * Returns the owner of a team's quota.
   *
   * @param team the team
   * @return the member, or empty if no member is reachable
   */
  public Optional<NodeName> ownerOf(TeamName team) {
    return ownerOf(partitionOf(team));
  }

  /**
   * Returns the member that stands in for the owner of a team's quota while that does not answer.
   *
   * @param team the team
   * @return the member, or empty if fewer than two members are reachable
   */
  public Optional<NodeName> deputyOf(TeamName team) {
    return deputyOf(partitionOf(team));
  }

  Optional<NodeName> ownerOf(int partition) {
    return owners.get(partition);
  }

  Optional<NodeName> deputyOf(int partition) {
    return deputies.get(partition);
  }

  /** {@return the number of members that have not left as planned} */
  public int known() {
    return known;
  }

  /** {@return the share of the known members that are regarded as reachable} */
  double reachableShare() {
    return known == 0 ? 0 : (double) reachable / known;
  }
}
