package org.amaranthmoor.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.amaranthmoor.model.NodeName;

/**
 * Lists the differences between two successive snapshots of the members.
 *
 * <p>Not safe for use by several threads.
 */
public final class MemberChanges {

  private static final String UNKNOWN = "unknown";

  private final Map<NodeName, String> previous = new HashMap<>();

  /** Creates an instance whose first snapshot has no members. */
  public MemberChanges() {}

  /**
   * Compares the members with the previous snapshot and replaces that snapshot.
   *
   * @param members all members known
   * @return one text {@code node:before>after} for each changed member, in alphabetical order;
   *     empty if nothing has changed
   */
  public List<String> update(List<Member> members) {
    Map<NodeName, String> now = new HashMap<>();
    members.forEach(member -> now.put(member.node(), describe(member)));
    TreeSet<String> changes = new TreeSet<>();
    now.forEach(
        (node, state) -> {
          String before = previous.getOrDefault(node, UNKNOWN);
          if (!before.equals(state)) {
            changes.add(node + ":" + before + ">" + state);
          }
        });
    previous.keySet().stream()
        .filter(node -> !now.containsKey(node))
        .forEach(node -> changes.add(node + ":" + previous.get(node) + ">" + UNKNOWN));
    previous.clear();
    previous.putAll(now);
    return List.copyOf(changes);
  }

  private static String describe(Member member) {
    String serving = member.servedService().map(s -> "/" + s.service()).orElse("");
    return member.liveness() + "/" + member.incarnation() + serving;
  }
}
