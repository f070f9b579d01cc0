package org.amaranthmoor.model;

/**
 * Identifies one run of a node's process among all runs of the same node.
 *
 * <p>A later run has a greater value, which is the start time of the process.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param value the start time in microseconds since the epoch
 */
public record Incarnation(long value) implements Comparable<Incarnation> {

  @Override
  public int compareTo(Incarnation other) {
    return Long.compare(value, other.value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
