package org.amaranthmoor.connection;

import java.util.OptionalLong;

/**
 * Decides whether a port accepts a further connection.
 *
 * <p>A connection occupies memory and a file descriptor from the moment it is accepted, so their
 * number is bounded. Once the bound is reached, an idle connection makes room for a new one;
 * without an idle one the new connection is refused with a response, or closed at once if many are
 * being refused already.
 *
 * <p>Invariant: no more than {@code capacity} connections are accepted and no more than {@code
 * maxRefusals} are being refused at a time. Immutable and safe for use by several threads.
 *
 * @param capacity largest number of accepted connections, at least 1
 * @param maxRefusals largest number of connections that are being refused with a response
 */
public record ConnectionAdmission(int capacity, int maxRefusals) {

  /** Memory of the heap that a connection occupies while its request is served, in bytes. */
  static final long CONNECTION_BYTES = 40 * 1024;

  /** Memory of the heap that a connection occupies while it is being refused, in bytes. */
  static final long REFUSAL_BYTES = 8 * 1024;

  /** Part of the heap that accepted connections of callers may occupy. */
  private static final double CALLER_HEAP_SHARE = 0.3;

  /** Part of the heap that accepted connections of one other port may occupy. */
  private static final double CONTROL_HEAP_SHARE = 0.02;

  /** Part of the file descriptors for callers; a request may need another one for its target. */
  private static final double CALLER_DESCRIPTOR_SHARE = 0.4;

  /** Part of the file descriptors for connections of callers that are being refused. */
  private static final double REFUSAL_DESCRIPTOR_SHARE = 0.1;

  /** Memory of the heap that a connection of another node occupies without requests, in bytes. */
  private static final long LINK_BYTES = 16 * 1024;

  /** Part of the heap that connections of other nodes may occupy. */
  private static final double NODE_HEAP_SHARE = 0.25;

  /** Part of the file descriptors for connections of other nodes. */
  private static final double NODE_DESCRIPTOR_SHARE = 0.25;

  /** Number of connections of other nodes that every node accepts. */
  private static final int MIN_LINKS = 64;

  private static final int MIN_CAPACITY = 8;

  /**
   * Age from which a connection without any request is idle, in nanoseconds. Until then its first
   * request is assumed to be on its way.
   */
  private static final long UNUSED_GRACE_NANOS = 1_000_000_000L;

  /** Decision on a new connection. */
  public enum Decision {
    /** The connection is accepted. */
    ACCEPT,
    /** The connection is accepted in place of the longest idle one, which is closed. */
    REPLACE_IDLE,
    /** The connection is closed after a response that states that nothing was run. */
    REFUSE,
    /** The connection is closed at once. */
    DROP
  }

  /** Checks the limits. */
  public ConnectionAdmission {
    if (capacity < 1 || maxRefusals < 0) {
      throw new IllegalArgumentException("capacity " + capacity + ", refusals " + maxRefusals);
    }
  }

  /**
   * Creates the limits of the port for callers.
   *
   * @param maxHeapBytes largest size of the heap, in bytes
   * @param maxDescriptors largest number of open file descriptors, if known
   * @return the limits
   */
  public static ConnectionAdmission forCallers(long maxHeapBytes, OptionalLong maxDescriptors) {
    long byHeap = (long) (maxHeapBytes * CALLER_HEAP_SHARE) / CONNECTION_BYTES;
    long byDescriptors =
        (long) (maxDescriptors.orElse(Integer.MAX_VALUE) * CALLER_DESCRIPTOR_SHARE);
    int capacity = withCapacity(Math.min(byHeap, byDescriptors)).capacity();
    long refusals = (long) (maxDescriptors.orElse(Integer.MAX_VALUE) * REFUSAL_DESCRIPTOR_SHARE);
    return new ConnectionAdmission(capacity, Math.clamp(refusals, MIN_CAPACITY, capacity));
  }

  /**
   * Creates the limits of the port between nodes, whose connections are never refused with a
   * response.
   *
   * @param maxHeapBytes largest size of the heap, in bytes
   * @param maxDescriptors largest number of open file descriptors, if known
   * @return the limits
   */
  public static ConnectionAdmission forNodes(long maxHeapBytes, OptionalLong maxDescriptors) {
    long byHeap = (long) (maxHeapBytes * NODE_HEAP_SHARE) / LINK_BYTES;
    long byDescriptors = (long) (maxDescriptors.orElse(Integer.MAX_VALUE) * NODE_DESCRIPTOR_SHARE);
    long capacity = Math.min(byHeap, byDescriptors);
    return new ConnectionAdmission(Math.clamp(capacity, MIN_LINKS, Integer.MAX_VALUE), 0);
  }

  /**
   * Creates the limits of a port for reports, readiness checks, metrics or operators. Connections
   * of callers never count towards them.
   *
   * @param maxHeapBytes largest size of the heap, in bytes
   * @return the limits
   */
  public static ConnectionAdmission forControl(long maxHeapBytes) {
    return withCapacity((long) (maxHeapBytes * CONTROL_HEAP_SHARE) / CONNECTION_BYTES);
  }

  private static ConnectionAdmission withCapacity(long capacity) {
    int bounded = Math.clamp(capacity, MIN_CAPACITY, Integer.MAX_VALUE);
    return new ConnectionAdmission(bounded, bounded);
  }

  /**
   * Decides on a new connection.
   *
   * @param accepted number of accepted connections
   * @param idleAvailable whether one of them is idle
   * @param refusals number of connections that are being refused
   * @return the decision
   */
  public Decision decide(int accepted, boolean idleAvailable, int refusals) {
    if (accepted < capacity) {
      return Decision.ACCEPT;
    }
    if (idleAvailable) {
      return Decision.REPLACE_IDLE;
    }
    return refusals < maxRefusals ? Decision.REFUSE : Decision.DROP;
  }

  /**
   * {@return whether a connection on which no request was received since it was accepted is idle}
   *
   * @param ageNanos time since it was accepted, in nanoseconds
   */
  public static boolean isUnusedIdle(long ageNanos) {
    return ageNanos >= UNUSED_GRACE_NANOS;
  }
}
