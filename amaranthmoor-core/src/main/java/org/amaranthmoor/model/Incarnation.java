package org.amaranthmoor.model;

/**
 * Tells one run of a node's process from every other run of the same node.
 *
 * <p>A later run has a larger value: it is the start time in microseconds since the epoch.
 * Immutable and safe for use by several threads.
 *
 * @param value the start time in microseconds
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
