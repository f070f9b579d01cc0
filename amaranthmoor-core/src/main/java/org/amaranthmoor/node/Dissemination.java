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

  private static final int FACTOR = 2;

  private final Map<NodeName, Integer> sent = new HashMap<>();

  /** Starts spreading the state of a member anew. */
  void add(NodeName node) {
    sent.put(node, 0);
  }

  /**
   * Counts some states as sent and returns their members, whose states ride on the next message.
   */
  List<NodeName> next(int limit, int members) {
    if (sent.isEmpty()) {
      return List.of();
    }
    List<NodeName> chosen = new ArrayList<>(sent.keySet());
    chosen.sort(Comparator.comparing((NodeName node) -> sent.get(node)));
    List<NodeName> rides = new ArrayList<>(chosen.subList(0, Math.min(limit, chosen.size())));
    int times = FACTOR * (1 + Integer.SIZE - Integer.numberOfLeadingZeros(Math.max(1, members)));
    for (NodeName node : rides) {
      int count = sent.merge(node, 1, Integer::sum);
      if (count >= times) {
        sent.remove(node);
      }
    }
    return rides;
  }
}
