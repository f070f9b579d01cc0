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
final class Dissemination {

  private static final int NEAR_FACTOR = 2;

  /**
   * Messages to other availability zones that carry a state, at each node: the nodes of a zone have
   * it from each other, so that together these few are many.
   */
  private static final int FAR_TIMES = 3;

  private final Map<NodeName, Integer> near = new HashMap<>();
  private final Map<NodeName, Integer> far = new HashMap<>();

  /** Starts spreading the state of a member anew. */
  void add(NodeName node) {
    near.put(node, 0);
    far.put(node, 0);
  }

  /**
   * Counts some states as sent and returns their members, whose states ride on the next message.
   *
   * @param isNear whether the message stays in the own availability zone
   * @param limit most states
   * @param members members known
   */
  List<NodeName> next(boolean isNear, int limit, int members) {
    int magnitude = 1 + Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members));
    return isNear ? next(near, NEAR_FACTOR * magnitude, limit) : next(far, FAR_TIMES, limit);
  }

  private static List<NodeName> next(Map<NodeName, Integer> sent, int times, int limit) {
    if (sent.isEmpty()) {
      return List.of();
    }
    List<NodeName> chosen = new ArrayList<>(sent.keySet());
    chosen.sort(Comparator.comparing((NodeName node) -> sent.get(node)));
    List<NodeName> rides = new ArrayList<>(chosen.subList(0, Math.min(limit, chosen.size())));
    for (NodeName node : rides) {
      int count = sent.merge(node, 1, Integer::sum);
      if (count >= times) {
        sent.remove(node);
      }
    }
    return rides;
  }
}
