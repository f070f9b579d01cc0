package org.amaranthmoor.testkit.mesh;

import java.util.List;

/**
 * Size and load of a simulated mesh. Immutable and safe for use by several threads.
 *
 * @param zones number of availability zones
 * @param targets number of targets of each service; zones are assigned in turn
 * @param slots slots of each target
 * @param kinds kinds of requests that callers send
 * @param phases the slow phases of targets
 * @param messageMillis processor time that a node spends on a message, in milliseconds
 */
public record MeshShape(
    int zones,
    List<Integer> targets,
    int slots,
    List<MeshRequestKind> kinds,
    Phases phases,
    double messageMillis) {

  /**
   * The slow phases of a target, caused by noisy neighbours on its machine.
   *
   * @param share share of the time in which the target is slow; 0 for no slow phases
   * @param factor slowdown of work that starts in a slow phase
   * @param meanMillis mean length of a slow phase; lengths are exponentially distributed
   */
  public record Phases(double share, double factor, double meanMillis) {}
}
