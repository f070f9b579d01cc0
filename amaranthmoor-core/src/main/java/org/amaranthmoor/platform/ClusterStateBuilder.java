package org.amaranthmoor.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import org.amaranthmoor.config.RuleSpec;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.TargetSpec;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;

/**
 * Builds the state that follows from applying one record to another state.
 *
 * <p>Confined to one thread; {@link #build} returns the immutable result.
 */
final class ClusterStateBuilder {

  final SortedMap<ServiceName, ServiceSpec> services;
  final SortedMap<RuleName, RuleSpec> rules;
  final SortedMap<TargetName, TargetSpec> targets;
  final SortedMap<NodeName, AnnouncedTarget> announcedTargets;
  private final ClusterState before;

  ClusterStateBuilder(ClusterState before) {
    this.before = before;
    this.services = ClusterState.copyOf(before.services());
    this.rules = ClusterState.copyOf(before.rules());
    this.targets = ClusterState.copyOf(before.targets());
    this.announcedTargets = ClusterState.copyOf(before.announcedTargets());
  }

  ClusterState build(long offset, List<Verdict> verdicts, List<String> recordIds) {
    return new ClusterState(
        offset,
        before.formatLevel(),
        services,
        rules,
        targets,
        announcedTargets,
        verdicts,
        recordIds);
  }

  /**
   * Returns a copy of a list with an element appended and the oldest elements beyond a limit
   * removed.
   */
  static <T> List<T> appendBounded(List<T> list, T last, int limit) {
    List<T> copy = new ArrayList<>(list);
    copy.add(last);
    return copy.size() <= limit ? copy : copy.subList(copy.size() - limit, copy.size());
  }
}
