package org.amaranthmoor.testkit.mesh;

import java.util.List;

/**
 * What a mesh consists of. Immutable and safe for use by several threads.
 *
 * @param zones number of availability zones
 * @param targets targets of each service; they are spread over the zones in turn
 * @param slots slots of a target
 * @param kinds kinds of requests that callers send
 * @param phases the slow phases of targets
 * @param messageMillis processor time of a node for a message, in milliseconds
 */
public record MeshShape(
    int zones,
    List<Integer> targets,
    int slots,
    List<MeshRequestKind> kinds,
    Phases phases,
    double messageMillis) {

  /**
   * How a target's neighbours slow it.
   *
   * @param share part of the time that is slow
   * @param factor how much longer work takes that starts in a slow phase
   * @param meanMillis mean length of a slow phase
   */
  public record Phases(double share, double factor, double meanMillis) {}
}
