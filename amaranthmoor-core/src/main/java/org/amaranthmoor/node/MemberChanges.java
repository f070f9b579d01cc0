package org.amaranthmoor.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.amaranthmoor.model.NodeName;

/**
 * Tells what has changed between two looks at the members.
 *
 * <p>Not safe for use by several threads.
 */
public final class MemberChanges {

  private static final String UNKNOWN = "unknown";

  private final Map<NodeName, String> previous = new HashMap<>();

  /** Creates a look at nobody. */
  public MemberChanges() {}

  /**
   * Takes in the members as they are now.
   *
   * @param members all members known
   * @return one text for each that has changed, in the order of names: its node, and what it was
   *     and is; empty if nothing has changed
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
