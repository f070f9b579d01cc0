package org.amaranthmoor.node;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ZoneName;

/**
 * The designated readers of the configuration in all availability zones.
 *
 * <p>Invariant: nodes that know the same members have the same readers, in the same order.
 * Immutable and safe for use by several threads.
 *
 * @param inOrder all readers, in the order in which they take turns
 * @param inOtherZones the readers of the other availability zones
 */
public record ConfigReaders(List<NodeName> inOrder, List<NodeName> inOtherZones) {

  /** The readers before any member is known. */
  public static final ConfigReaders NONE = new ConfigReaders(List.of(), List.of());

  /** Copies the lists. */
  public ConfigReaders {
    inOrder = List.copyOf(inOrder);
    inOtherZones = List.copyOf(inOtherZones);
  }

  /**
   * Chooses the readers among the members.
   *
   * @param ownZone the availability zone of this node
   * @param members the members, of which only the reachable ones can be readers
   * @return the readers
   */
  public static ConfigReaders among(ZoneName ownZone, Collection<Member> members) {
    Map<ZoneName, List<NodeName>> byZone =
        members.stream()
            .filter(Member::reachable)
            .collect(
                Collectors.groupingBy(
                    Member::zone,
                    TreeMap::new,
                    Collectors.mapping(Member::node, Collectors.toList())));
    List<NodeName> all = new ArrayList<>();
    List<NodeName> others = new ArrayList<>();
    byZone.forEach(
        (zone, nodes) -> {
          List<NodeName> readers = ConfigReadPolicy.designatedReaders(nodes);
          all.addAll(readers);
          if (!zone.equals(ownZone)) {
            others.addAll(readers);
          }
        });
    return new ConfigReaders(ConfigReadPolicy.byRank(all), others);
  }
}
