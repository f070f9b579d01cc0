package org.amaranthmoor.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthmoor.model.NodeName;

/**
 * Chooses which changed states ride on the next message.
 *
 * <p>Each change is sent a number of times that grows with the logarithm of the members, the least
 * sent first. Confined to its owner's lock.
 */
final class DisseminationQueue {

  private static final int OWN_ZONE_SENDS_FACTOR = 2;

  /**
   * Messages to other availability zones that carry a state, at each node: the nodes of a zone have
   * it from each other, so that together these few are many.
   */
  private static final int OTHER_ZONE_SENDS = 3;

  private final Map<NodeName, Integer> ownZoneSendCounts = new HashMap<>();
  private final Map<NodeName, Integer> otherZoneSendCounts = new HashMap<>();

  /** Starts spreading the state of a member anew. */
  void add(NodeName node) {
    ownZoneSendCounts.put(node, 0);
    otherZoneSendCounts.put(node, 0);
  }

  /**
   * Counts some states as sent and returns their members, whose states ride on the next message.
   *
   * @param toOwnZone whether the message stays in the own availability zone
   * @param limit most states
   * @param memberCount members known
   */
  List<NodeName> next(boolean toOwnZone, int limit, int memberCount) {
    int magnitude = 1 + Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, memberCount));
    return toOwnZone
        ? next(ownZoneSendCounts, OWN_ZONE_SENDS_FACTOR * magnitude, limit)
        : next(otherZoneSendCounts, OTHER_ZONE_SENDS, limit);
  }

  private static List<NodeName> next(Map<NodeName, Integer> sendCounts, int maxSends, int limit) {
    if (sendCounts.isEmpty()) {
      return List.of();
    }
    List<NodeName> leastSentFirst = new ArrayList<>(sendCounts.keySet());
    leastSentFirst.sort(Comparator.comparing((NodeName node) -> sendCounts.get(node)));
    List<NodeName> selected =
        new ArrayList<>(leastSentFirst.subList(0, Math.min(limit, leastSentFirst.size())));
    for (NodeName node : selected) {
      int count = sendCounts.merge(node, 1, Integer::sum);
      if (count >= maxSends) {
        sendCounts.remove(node);
      }
    }
    return selected;
  }
}
