package org.amaranthmoor.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.amaranthmoor.model.NodeName;

/**
 * Chooses which changed states are piggybacked on the next message.
 *
 * <p>Within the own availability zone each change is sent a number of times that grows with the
 * logarithm of the number of members; the changes sent least often go first.
 *
 * <p>Not safe for use by several threads; guarded by the owner's lock.
 */
final class DisseminationQueue {

  private static final int SAME_ZONE_SENDS_FACTOR = 2;

  /**
   * Number of messages to other availability zones on which each node sends a change. A few are
   * enough, because every node of the zone that has received the change sends it as often.
   */
  private static final int OTHER_ZONE_SENDS = 3;

  private final Map<NodeName, Integer> sameZoneSendCounts = new HashMap<>();
  private final Map<NodeName, Integer> otherZoneSendCounts = new HashMap<>();

  /** Starts to disseminate the state of a member, or starts again from the first message. */
  void add(NodeName node) {
    sameZoneSendCounts.put(node, 0);
    otherZoneSendCounts.put(node, 0);
  }

  /**
   * Returns the members whose states are piggybacked on the next message, and counts these states
   * as sent.
   *
   * @param toSameZone whether the message stays in the own availability zone
   * @param limit largest number of states
   * @param memberCount number of members known
   */
  List<NodeName> next(boolean toSameZone, int limit, int memberCount) {
    int magnitude = 1 + Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, memberCount));
    return toSameZone
        ? next(sameZoneSendCounts, SAME_ZONE_SENDS_FACTOR * magnitude, limit)
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
