package org.amaranthmoor.platform;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.amaranthmoor.config.RuleSpec;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.config.TargetSpec;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TargetName;

/**
 * The state of the cluster that results from the log records up to an offset.
 *
 * <p>Invariants: states derived from the same log up to the same offset are equal; every rule and
 * every target refers to a service of the state. Immutable and safe for use by several threads.
 *
 * @param offset offset of the last record applied, or {@link #NO_OFFSET} before the first
 * @param formatLevel newest format of release notes that is accepted
 * @param services the services
 * @param rules the rules
 * @param targets the targets that release notes admit to a service
 * @param announcedTargets the announced targets, by node
 * @param verdicts verdicts of the most recent notes, oldest first
 * @param recentRecordIds ids of the most recent records, oldest first
 */
public record ClusterState(
    long offset,
    int formatLevel,
    SortedMap<ServiceName, ServiceSpec> services,
    SortedMap<RuleName, RuleSpec> rules,
    SortedMap<TargetName, TargetSpec> targets,
    SortedMap<NodeName, AnnouncedTarget> announcedTargets,
    List<Verdict> verdicts,
    List<String> recentRecordIds) {

  /** Offset of the state before the first record. */
  public static final long NO_OFFSET = -1;

  /** Maximum number of verdicts that a state keeps. */
  public static final int MAX_VERDICTS = 256;

  /** Maximum number of record ids that a state keeps to detect repeated appends. */
  public static final int MAX_RECORD_IDS = 4096;

  private static final ClusterState EMPTY =
      new ClusterState(
          NO_OFFSET,
          1,
          new TreeMap<>(),
          new TreeMap<>(),
          new TreeMap<>(),
          new TreeMap<>(),
          List.of(),
          List.of());

  /** Copies the lists; the maps must not be changed after the call. */
  public ClusterState {
    verdicts = List.copyOf(verdicts);
    recentRecordIds = List.copyOf(recentRecordIds);
  }

  /** {@return the state before the first record} */
  public static ClusterState empty() {
    return EMPTY;
  }

  /**
   * Finds the verdict of a note.
   *
   * @param note the note
   * @return the verdict, or empty if the note is not in the log or is older than the verdicts kept
   */
  public Optional<Verdict> verdict(NoteId note) {
    for (Verdict verdict : verdicts) {
      if (verdict.note().equals(note)) {
        return Optional.of(verdict);
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the announced targets that are admitted to a service, sorted by node name.
   *
   * @param service the service
   * @return the targets
   */
  public List<AnnouncedTarget> servers(ServiceName service) {
    return announcedTargets.values().stream()
        .filter(server -> serves(server.target(), service))
        .toList();
  }

  /**
   * Counts the admitted targets of a service, announced or not.
   *
   * @param service the service
   * @return the count
   */
  public long admittedTargetCount(ServiceName service) {
    return targets.values().stream().filter(target -> target.service().equals(service)).count();
  }

  /**
   * Returns the service a target is admitted to.
   *
   * @param target the target
   * @return the service, or empty if no note admits the target
   */
  public Optional<ServiceName> serviceOf(TargetName target) {
    return Optional.ofNullable(targets.get(target)).map(TargetSpec::service);
  }

  private boolean serves(TargetName target, ServiceName service) {
    TargetSpec spec = targets.get(target);
    return spec != null && spec.service().equals(service);
  }

  /**
   * Returns a mutable copy of a map.
   *
   * @param map the map
   * @param <K> the type of the keys
   * @param <V> the type of the values
   * @return a new map with the same entries
   */
  static <K extends Comparable<K>, V> SortedMap<K, V> copyOf(Map<K, V> map) {
    return new TreeMap<>(map);
  }
}
